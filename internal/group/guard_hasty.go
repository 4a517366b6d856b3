//go:build unguarded_replica

package group

const unguarded = false

const hasty = true

const lonely = false
