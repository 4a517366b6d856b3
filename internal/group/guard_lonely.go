//go:build unguarded_loads

package group

const unguarded = false

const hasty = false

const lonely = true
