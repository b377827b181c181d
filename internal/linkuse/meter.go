package linkuse

import (
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

// Meter counts the bytes of a host's connections. A nil Meter, of a host whose link is unknown,
// counts nothing and never reports a saturated link. It is safe for concurrent use.
type Meter struct {
	rate int64

	mu    sync.Mutex
	use   *Use
	total uint64
	// reported is the total at the last report, and reportedAt its time.
	reported   uint64
	reportedAt time.Time
	// saturatedAt is the time of the last report of a saturated link; zero once it was logged
	// that the link is free.
	saturatedAt time.Time
}

// NewMeter returns a Meter for a link with a rate in bytes a second, or nil if the rate is zero.
func NewMeter(rate int64) *Meter {
	if rate <= 0 {
		return nil
	}
	now := time.Now()
	return &Meter{rate: rate, use: NewUse(rate, now), reportedAt: now}
}

// Count records bytes that were sent or received.
func (m *Meter) Count(bytes int) {
	if m == nil || bytes <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.total += uint64(bytes)
	m.use.Count(time.Now(), bytes)
}

// SaturatedSince reports whether the link was saturated at any time since the given one.
func (m *Meter) SaturatedSince(since time.Time) bool {
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.use.SaturatedSince(since, time.Now())
}

// Total returns the number of bytes counted.
func (m *Meter) Total() uint64 {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.total
}

// freeAfter is how long a link must not have been saturated before the log says that it is free.
// It bounds the log to two lines in that time.
const freeAfter = 5 * time.Second

// Report logs when the link begins to be saturated and when it is free again. It is called
// regularly.
func (m *Meter) Report(logger *log.Logger) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	since, elapsed := m.reportedAt, now.Sub(m.reportedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	perSecond := int64(float64(m.total-m.reported) / elapsed)
	m.reported, m.reportedAt = m.total, now
	wasSaturated := !m.saturatedAt.IsZero()
	if m.use.SaturatedSince(since, now) {
		m.saturatedAt = now
		if !wasSaturated {
			logger.Warn("link_saturated", "bytes_per_s", perSecond, "link_bytes_per_s", m.rate)
		}
	} else if wasSaturated && now.Sub(m.saturatedAt) >= freeAfter {
		m.saturatedAt = time.Time{}
		logger.Info("link_free", "bytes_per_s", perSecond, "link_bytes_per_s", m.rate)
	}
}

// Reader returns a reader that counts what is read from r.
func (m *Meter) Reader(r io.Reader) io.Reader {
	if m == nil {
		return r
	}
	return countingReader{Reader: r, meter: m}
}

// Writer returns a writer that counts what is written to w.
func (m *Meter) Writer(w io.Writer) io.Writer {
	if m == nil {
		return w
	}
	return countingWriter{Writer: w, meter: m}
}

type countingReader struct {
	io.Reader
	meter *Meter
}

// Read implements io.Reader.
func (r countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.meter.Count(n)
	return n, err
}

type countingWriter struct {
	io.Writer
	meter *Meter
}

// Write implements io.Writer.
func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.meter.Count(n)
	return n, err
}
