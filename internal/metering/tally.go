package metering

// Tally holds the counts of a window that are known at a control host.
type Tally struct {
	// Counts holds the requests of each workspace.
	Counts map[string]uint64
	// Heard is the number of registered entry hosts that sent a final report of the window.
	Heard int
	// Missing are the registered entry hosts that did not, in ascending order.
	Missing []string
}
