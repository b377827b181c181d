package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/config"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/scramauth"
)

const (
	loopbackAnyPort = "127.0.0.1:0"
	// fleetSecret need not be secret, since the system listens on loopback only.
	fleetSecret = "loopback-development-fleet"
)

var domains = []string{"osan", "pohang", "heuksan"}

// settings returns the settings that the control host and the entry hosts have in common.
func (s *system) settings(host, domain string) *config.Settings {
	return &config.Settings{
		Host: host, Fleet: fleet, Domain: domain, FleetSecret: fleetSecret,
		Peer:     config.Peer{Listen: loopbackAnyPort},
		Admin:    config.Admin{Listen: loopbackAnyPort},
		Controls: []config.ControlHost{{Host: controlHost, Addr: loopbackAnyPort, Voter: true}},
	}
}

func (s *system) controlSettings() *config.Settings {
	settings := s.settings(controlHost, domains[0])
	if s.opts.Admin != "" {
		settings.Admin.Listen = s.opts.Admin
	}
	settings.Control = &config.Control{DataDir: filepath.Join(s.dataDir, controlHost), Bootstrap: true}
	return settings
}

func (s *system) entrySettings(host, domain, listen string) *config.Settings {
	settings := s.settings(host, domain)
	settings.Controls[0].Addr = s.control.PeerAddr()
	if listen == "" {
		listen = loopbackAnyPort
	}
	settings.Entry = &config.Entry{
		Listen:          listen,
		MaxMessage:      config.DefaultMaxMessage,
		DefaultDeadline: config.DefaultDeadline,
		DrainTimeout:    config.DefaultDrainTimeout,
	}
	return settings
}

// firstNote returns the release note with the workspace, its key, the service and the
// failure domains. It generates the key and stores it in s.key.
func (s *system) firstNote() note.Note {
	s.key = scramauth.NewKey()
	n := note.Note{Number: 1, Title: "development system"}
	n.Added.Workspaces = []note.Workspace{{
		Name: Workspace, Rate: 100_000, Burst: 100_000, Class: note.ClassInteractive,
	}}
	n.Added.Keys = []note.Key{{ID: "crew-1", Workspace: Workspace, Verifier: scramauth.Verifier(Workspace, s.key)}}
	n.Added.Services = []note.Service{{
		Name: Service, Endpoints: endpoints, Slots: 5, Connections: 30,
		Database: database, User: user, Password: password,
	}}
	for _, name := range domains {
		n.Added.Domains = append(n.Added.Domains, note.Domain{Name: name, Region: "kr-central"})
	}
	return n
}

// applyFirstNote posts the first note repeatedly until the control host has accepted it.
func (s *system) applyFirstNote(ctx context.Context) error {
	body, err := json.Marshal(s.firstNote())
	if err != nil {
		return err
	}
	for {
		err := postNote(ctx, s.control.AdminAddr(), body)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryInterval):
		}
	}
}

func postNote(ctx context.Context, admin string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+admin+"/v1/notes", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s: %s", resp.Status, text)
	}
	return nil
}
