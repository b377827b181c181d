package codec

import (
	"bytes"
	"strings"
	"testing"
)

func TestPackedDataIsRestored(t *testing.T) {
	random := make([]byte, 4096)
	for i := range random {
		random[i] = byte(i*i>>3 ^ i*7)
	}
	for name, data := range map[string][]byte{
		"empty":      {},
		"short":      []byte("a record"),
		"repetitive": []byte(strings.Repeat("10.1.0.7:7400 osan ", 400)),
		"mixed":      random,
	} {
		packed := Pack(data)
		if len(packed) > len(data)+1 {
			t.Errorf("%s: %d bytes became %d", name, len(data), len(packed))
		}
		got, err := Unpack(packed, 1<<20)
		if err != nil || !bytes.Equal(got, data) {
			t.Errorf("%s: got %d bytes of %d, error %v", name, len(got), len(data), err)
		}
	}
	if packed := Pack([]byte(strings.Repeat("10.1.0.7:7400 osan ", 400))); len(packed) > 400 {
		t.Errorf("%d bytes for a text of one word, want less than 400", len(packed))
	}
}

// TestUnpackRefusesMalformedData checks that data that is cut short, has no tag or is larger than
// the caller allows is refused: a small message must not make a host use all its memory.
func TestUnpackRefusesMalformedData(t *testing.T) {
	packed := Pack(make([]byte, 1<<20))
	for name, data := range map[string][]byte{
		"empty":            {},
		"without tag":      {0xa1, 0x01, 0x02},
		"cut short":        packed[:len(packed)/2],
		"too large":        packed,
		"plain, too large": append([]byte{tagPlain}, make([]byte, 1<<20)...),
	} {
		if got, err := Unpack(data, 1<<19); err == nil {
			t.Errorf("%s: unpacked %d bytes", name, len(got))
		}
	}
}

func FuzzUnpack(f *testing.F) {
	f.Add([]byte{tagDeflated})
	f.Add(Pack([]byte(strings.Repeat("host ", 300))))
	f.Fuzz(func(t *testing.T, data []byte) {
		if got, err := Unpack(data, 1<<16); err == nil && len(got) > 1<<16 {
			t.Errorf("%d bytes, at most %d are allowed", len(got), 1<<16)
		}
	})
}
