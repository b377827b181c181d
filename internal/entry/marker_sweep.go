package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/galenabridge/galenabridge/internal/retry"
)

// Limits of the deletion of expired markers.
const (
	// markersPerSweep is the number of markers that a host writes between two deletions.
	// It is less than markersPerDelete, so that deletion keeps up.
	markersPerSweep    = 500
	markersPerDelete   = 1000
	markerSweepTimeout = 5 * time.Second
)

// sweepMarkers deletes expired markers once every markersPerSweep calls. It runs in the
// background, on another connection to the primary of the checkout.
func (s *Server) sweepMarkers(co *checkout) {
	if s.markersWritten.Add(1)%markersPerSweep != 1 {
		return
	}
	member, endpoint := co.backend, co.endpoint
	s.spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), markerSweepTimeout)
		defer cancel()
		conn, err := member.pool.Acquire(ctx)
		if err != nil {
			return // the next sweep retries
		}
		// The connection may still have the settings of a session, for example read-only.
		_, err = conn.Query(ctx, "RESET ALL;"+deleteExpired(time.Now()))
		conn.Session.Settings = ""
		if err != nil {
			s.log.Warn("marker_sweep_failed", "endpoint", endpoint, "err", err.Error())
		}
		member.pool.Release(conn, err == nil)
	})
}

// deleteExpired returns the statement that deletes up to markersPerDelete expired markers.
func deleteExpired(now time.Time) string {
	return fmt.Sprintf("DELETE FROM galenabridge_requests WHERE id IN "+
		"(SELECT id FROM galenabridge_requests WHERE at < %d LIMIT %d)",
		now.Add(-retry.MarkerTTL).UnixMilli(), markersPerDelete)
}
