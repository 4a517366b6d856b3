//go:build !unguarded_view

package group

// unguarded leaves the view's refutation out, to show that the checks of the
// fault rig find it missing. No build that serves has it set.
const unguarded = false
