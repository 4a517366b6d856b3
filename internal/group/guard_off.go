//go:build unguarded_view

package group

const unguarded = true

const hasty = false

const lonely = false
