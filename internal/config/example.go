package config

// Example returns valid settings of a host with both roles. The fleet secret is a
// placeholder that must be replaced before use.
func Example() *Settings {
	s := &Settings{
		Host:        "osan-1",
		Fleet:       "launchlog",
		Domain:      "osan",
		FleetSecret: "replace-with-16-or-more-characters",
		Peer:        Peer{Listen: "127.0.0.1:7070"},
		Admin:       Admin{Listen: "127.0.0.1:7080"},
		Entry:       &Entry{Listen: "127.0.0.1:5432"},
		Control:     &Control{DataDir: "data", Bootstrap: true},
		Controls: []ControlHost{
			{Host: "osan-1", Addr: "127.0.0.1:7070", Voter: true},
			{Host: "pohang-1", Addr: "127.0.0.1:7071", Voter: true},
			{Host: "heuksan-1", Addr: "127.0.0.1:7072", Voter: true},
		},
	}
	s.setDefaults()
	return s
}
