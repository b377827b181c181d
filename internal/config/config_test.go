package config

import (
	"encoding/json"
	"strings"
	"testing"
)

func TestExampleIsValid(t *testing.T) {
	data, err := json.Marshal(Example())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Parse(data); err != nil {
		t.Fatal(err)
	}
}

func TestParseReportsEveryError(t *testing.T) {
	s := Example()
	s.Host = ""
	s.Peer.Listen = "localhost:1"
	s.FleetSecret = "short"
	s.Controls[1].Addr = "nowhere"
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	_, err = Parse(data)
	if err == nil {
		t.Fatal("accepted invalid settings")
	}
	for _, want := range []string{"host:", "peer.listen: localhost:1", "fleet_secret:", "controls[1].addr: nowhere"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("error %q does not contain %q", err, want)
		}
	}
	if strings.Contains(err.Error(), "short") {
		t.Error("error contains the fleet secret")
	}
}

func TestParseRefusesUnknownFields(t *testing.T) {
	if _, err := Parse([]byte(`{"host":"a","colour":"red"}`)); err == nil || !strings.Contains(err.Error(), "colour") {
		t.Errorf("got error %v, want one that names the field", err)
	}
}

func FuzzParse(f *testing.F) {
	data, err := json.Marshal(Example())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err == nil && s.Check() != nil {
			t.Error("Parse accepted settings that Check refuses")
		}
	})
}
