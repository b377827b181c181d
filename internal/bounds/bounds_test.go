package bounds

import (
	"strings"
	"testing"

	"github.com/galenabridge/galenabridge/internal/result"
)

func TestValuesOutsideBoundsRefused(t *testing.T) {
	long := strings.Repeat("n", MaxNameBytes)
	for name, c := range map[string]struct {
		check func(field, value string) error
		value string
		ok    bool
	}{
		"name":               {Name, "nen-a", true},
		"name, other script": {Name, "흑산", true},
		"longest name":       {Name, long, true},
		"name too long":      {Name, long + "n", false},
		"empty name":         {Name, "", false},
		"name not UTF-8":     {Name, "nen-\xff", false},
		"control characters": {Name, "nen\x00a", false},
		"address":            {Addr, "10.128.0.9:8080", true},
		"IPv6 address":       {Addr, "[::1]:1", true},
		"highest port":       {Addr, "h:65535", true},
		"port too high":      {Addr, "h:65536", false},
		"port 0":             {Addr, "h:0", false},
		"no port":            {Addr, "h", false},
		"no host":            {Addr, ":1", false},
		"address too long":   {Addr, long + ":1", false},
	} {
		err := c.check("field", c.value)
		if (err == nil) != c.ok {
			t.Errorf("%s: got %v", name, err)
		}
		if err != nil && (result.CodeOf(err) != result.MalformedMessage || !strings.Contains(err.Error(), "field: ")) {
			t.Errorf("%s: error %v, want MalformedMessage with the name of the field", name, err)
		}
	}
}
