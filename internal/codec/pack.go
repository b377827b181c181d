package codec

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// Tags are the first byte of packed data.
const (
	tagPlain    = 0x00
	tagDeflated = 0x01
)

// minDeflateBytes is the size from which data is compressed. Smaller data rarely gets smaller by
// more than the work is worth: a record of a host or an endpoint has some 100 bytes.
const minDeflateBytes = 512

// deflaters are reused, since each has tables of several hundred KB.
var deflaters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.DefaultCompression)
	if err != nil {
		panic(err) // the level is valid
	}
	return w
}}

var inflaters = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// Pack returns data in a form that Unpack reads, compressed if it is long. Hosts of large fleets
// have links of 2 Mbit/s, and bytes between failure domains are dear.
func Pack(data []byte) []byte {
	if len(data) < minDeflateBytes {
		return append([]byte{tagPlain}, data...)
	}
	var out bytes.Buffer
	out.WriteByte(tagDeflated)
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	w.Reset(&out)
	// Writes to a buffer do not fail.
	if _, err := w.Write(data); err != nil {
		panic(err)
	}
	if err := w.Close(); err != nil {
		panic(err)
	}
	if out.Len() > len(data) {
		return append([]byte{tagPlain}, data...)
	}
	return out.Bytes()
}

// IsPacked reports whether data begins with a tag of Pack. A CBOR map or array does not.
func IsPacked(data []byte) bool {
	return len(data) > 0 && (data[0] == tagPlain || data[0] == tagDeflated)
}

// Unpack returns the data that was packed. Data of more than maxBytes is refused.
func Unpack(packed []byte, maxBytes int) ([]byte, error) {
	if !IsPacked(packed) {
		return nil, errors.New("packed data without a tag")
	}
	body := packed[1:]
	if packed[0] == tagPlain {
		if len(body) > maxBytes {
			return nil, errors.Errorf("%d bytes, at most %d are allowed", len(body), maxBytes)
		}
		return body, nil
	}
	r := inflaters.Get().(io.ReadCloser)
	defer inflaters.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(body), nil); err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	data, err := io.ReadAll(io.LimitReader(r, int64(maxBytes)+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "decompress")
	case len(data) > maxBytes:
		return nil, errors.Errorf("more than %d bytes", maxBytes)
	}
	return data, nil
}
