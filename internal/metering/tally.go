package metering

// Tally is what is known of the requests of one window.
type Tally struct {
	// Counts are the requests begun by workspace.
	Counts map[string]uint64
	// Heard is the number of registered entry hosts that sent a final report of the window.
	Heard int
	// Missing are the registered entry hosts without a final report of the window.
	Missing []string
}
