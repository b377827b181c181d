// Package localfleet starts a fleet of separate processes on loopback addresses:
// hosts and stand-in endpoints, all run from the built program. It serves tests and
// benchmarks. It owns the processes that it starts and the files below its folder.
package localfleet

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/config"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/scramauth"
	"github.com/galenabridge/galenabridge/internal/standin"
)

// Credentials and database of the endpoints.
const (
	ServiceUser     = "galenabridge"
	ServicePassword = "endpoint-password"
	Database        = "ledger"

	fleetName   = "local"
	fleetSecret = "local-fleet-secret"
)

// Options describe a fleet. Domains and Workspaces must not be empty.
type Options struct {
	// Program is the path of the built program.
	Program string
	// Dir is the existing folder for settings and data.
	Dir string
	// Hosts is the number of hosts, each with the entry role. The first
	// ControlHosts of them also have the control role and are voters.
	Hosts        int
	ControlHosts int
	// Domains are assigned to hosts and to the endpoints of a service in turn.
	Domains []note.Domain
	// Services must have Name, Endpoints, Slots and Connections set; database
	// and credentials are filled in.
	Services   []note.Service
	Workspaces []note.Workspace
	// ReplayLag is the replay lag of the replicas.
	ReplayLag time.Duration
	// Policy is the value of the hosts' --policy flag; empty means the default policy.
	Policy   string
	LogLevel string
	// AdvertiseAddr returns the address by which other processes reach a listen
	// address of a node, such as that of a proxy that injects network faults. Nil
	// means the listen address itself.
	AdvertiseAddr func(node, addr string) string
	// OnStart is called after each start of a process, including restarts. Nil means
	// no call.
	OnStart func(node string, p *Process)
}

// Host is a host of the fleet.
type Host struct {
	Name     string
	Settings config.Settings
	// SettingsFile is the path of the file that holds Settings.
	SettingsFile string
	// Proc is the latest process of the host, or nil before its first start.
	Proc *Process
	// adminAddr is the advertised admin address.
	adminAddr string
}

// Endpoint is a stand-in endpoint of the fleet.
type Endpoint struct {
	ID, Service, Domain string
	// Listen is the address that serves PostgreSQL's protocol, Addr the advertised
	// address that leads to it, and Control the address of the control API.
	Addr, Listen, Control string
	// Dir is the data folder.
	Dir string
	// Proc is the latest process of the endpoint, or nil before its first start.
	Proc *Process
}

// Fleet is a planned or running fleet. Keys and LastNote are not locked: Start, NewKey and
// Apply must not run concurrently with each other or with URL.
type Fleet struct {
	opts      Options
	Hosts     []*Host
	Endpoints []*Endpoint
	// Keys holds the secret of each API key by the key's id. The id of a
	// workspace's first key is the workspace's name followed by "-1".
	Keys map[string]string
	// LastNote is the number of the last note that Start or Apply sent and a host
	// accepted.
	LastNote uint64
}

// New assigns addresses to the processes of a fleet and writes the settings of its
// hosts. It starts no process.
func New(opts Options) (*Fleet, error) {
	if opts.AdvertiseAddr == nil {
		opts.AdvertiseAddr = func(_, addr string) string { return addr }
	}
	if opts.OnStart == nil {
		opts.OnStart = func(string, *Process) {}
	}
	if opts.LogLevel == "" {
		opts.LogLevel = "info"
	}
	f := &Fleet{opts: opts, Keys: make(map[string]string)}
	if err := f.planHosts(); err != nil {
		return nil, err
	}
	return f, f.planEndpoints()
}

// planHosts creates the hosts and writes their settings, each with the same list of
// control hosts.
func (f *Fleet) planHosts() error {
	var controls []config.ControlHost
	for i := range f.opts.Hosts {
		h := &Host{Name: fmt.Sprintf("host-%d", i+1)}
		if err := f.planHost(h, i); err != nil {
			return err
		}
		if h.Settings.Control != nil {
			controls = append(controls, config.ControlHost{Host: h.Name, Addr: h.Settings.Peer.Advertise, Voter: true})
		}
		f.Hosts = append(f.Hosts, h)
	}
	for _, h := range f.Hosts {
		h.Settings.Controls = controls
		data, err := json.MarshalIndent(h.Settings, "", "  ")
		if err != nil {
			return errors.Wrap(err, "encode settings")
		}
		h.SettingsFile = filepath.Join(f.opts.Dir, h.Name+".json")
		if err := os.WriteFile(h.SettingsFile, data, 0o600); err != nil {
			return errors.Wrap(err, "write settings")
		}
	}
	return nil
}

// planHost fills in the settings of the i-th host, except for the control hosts.
func (f *Fleet) planHost(h *Host, i int) error {
	addrs, err := freeAddrs(3)
	if err != nil {
		return err
	}
	s := &h.Settings
	s.Host, s.Fleet, s.FleetSecret = h.Name, fleetName, fleetSecret
	s.Domain = f.opts.Domains[i%len(f.opts.Domains)].Name
	s.Peer = config.Peer{Listen: addrs[0], Advertise: f.opts.AdvertiseAddr(h.Name, addrs[0])}
	s.Admin.Listen = addrs[1]
	h.adminAddr = f.opts.AdvertiseAddr(h.Name, addrs[1])
	s.Entry = &config.Entry{Listen: addrs[2]}
	s.Log.Level = f.opts.LogLevel
	if i < f.opts.ControlHosts {
		s.Control = &config.Control{DataDir: filepath.Join(f.opts.Dir, h.Name), Bootstrap: true}
	}
	return nil
}

// planEndpoints creates the endpoints of all services.
func (f *Fleet) planEndpoints() error {
	for _, s := range f.opts.Services {
		for i := range s.Endpoints {
			addrs, err := freeAddrs(2)
			if err != nil {
				return err
			}
			id := fmt.Sprintf("%s-%d", s.Name, i+1)
			f.Endpoints = append(f.Endpoints, &Endpoint{
				ID: id, Service: s.Name, Domain: f.opts.Domains[i%len(f.opts.Domains)].Name,
				Listen: addrs[0], Control: addrs[1], Addr: f.opts.AdvertiseAddr(id, addrs[0]),
				Dir: filepath.Join(f.opts.Dir, id),
			})
		}
	}
	return nil
}

// Ports are drawn below the default range for outgoing connections on Linux, which
// starts at 32768, so that no such connection occupies a port before its process
// listens on it.
const (
	firstPort       = 12000
	portCount       = 18000
	maxPortAttempts = 1000
)

// ports records the ports that this process has assigned. Until their processes
// listen on them, they would otherwise look free.
var ports = struct {
	sync.Mutex
	assigned map[int]bool
}{assigned: make(map[int]bool)}

// freeAddrs returns n loopback addresses on which nothing listens and which were not
// returned before.
func freeAddrs(n int) ([]string, error) {
	ports.Lock()
	defer ports.Unlock()
	var addrs []string
	for range maxPortAttempts {
		port := firstPort + rand.IntN(portCount)
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if ports.assigned[port] || !isPortFree(addr) {
			continue
		}
		ports.assigned[port] = true
		if addrs = append(addrs, addr); len(addrs) == n {
			return addrs, nil
		}
	}
	return nil, errors.New("no free loopback port found")
}

func isPortFree(addr string) bool {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	ln.Close()
	return true
}

// initialNote returns note 1, which adds all objects of the fleet. Each workspace
// that is not open gets one key.
func (f *Fleet) initialNote() note.Note {
	n := note.Note{Number: 1, Title: "local fleet"}
	n.Added.Domains = f.opts.Domains
	n.Added.Workspaces = f.opts.Workspaces
	for _, w := range f.opts.Workspaces {
		if !w.Open {
			n.Added.Keys = append(n.Added.Keys, f.NewKey(w.Name+"-1", w.Name))
		}
	}
	for _, s := range f.opts.Services {
		s.Database, s.User, s.Password = Database, ServiceUser, ServicePassword
		n.Added.Services = append(n.Added.Services, s)
	}
	return n
}

// NewKey generates a key, adds its secret to Keys and returns the entry for a note.
// Hosts accept the key once a note that adds it is in force.
func (f *Fleet) NewKey(id, workspace string) note.Key {
	secret := scramauth.NewKey()
	f.Keys[id] = secret
	return note.Key{ID: id, Workspace: workspace, Verifier: scramauth.Verifier(workspace, secret)}
}

// endpointArgs returns the arguments that start an endpoint. A primary creates the
// records table; a replica follows upstream.
func (f *Fleet) endpointArgs(e *Endpoint, role standin.Role, upstream string) []string {
	args := []string{
		"standin", "--service", e.Service, "--id", e.ID, "--domain", e.Domain, "--listen", e.Listen,
		"--advertise", e.Addr, "--role", string(role), "--user", ServiceUser, "--password", ServicePassword,
		"--database", Database, "--lag", f.opts.ReplayLag.String(), "--control", e.Control, "--data-dir", e.Dir,
		"--connections", "200", "--log-level", f.opts.LogLevel,
	}
	if upstream != "" {
		args = append(args, "--upstream", upstream)
	}
	if role == standin.RolePrimary {
		args = append(args, "--records")
	}
	for _, h := range f.Hosts {
		args = append(args, "--announce", h.adminAddr)
	}
	return args
}
