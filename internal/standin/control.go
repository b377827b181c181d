package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// FaultRequest is the body of POST /v1/faults. Omitted fields keep their state.
// PartitionedLinks replaces the whole set of partitioned links. Clear leaves the
// replay lag and the replication delay as they are.
type FaultRequest struct {
	Clear              bool    `json:"clear,omitempty"`
	Stall              *bool   `json:"stall,omitempty"`
	ResponseDelayMS    *int    `json:"late_ms,omitempty"`
	DropAfterCommit    *int    `json:"drop_after_commit,omitempty"`
	PartitionedLinks   *[]Link `json:"cut,omitempty"`
	ReplayLagMS        *int    `json:"replay_lag_ms,omitempty"`
	ReplicationDelayMS *int    `json:"replication_delay_ms,omitempty"`
	Kill               bool    `json:"kill,omitempty"`
}

// Status is the endpoint's state, the response of GET /v1/status. Flushed and
// Replayed have the format of LSN.String.
type Status struct {
	ID       string `json:"id"`
	Addr     string `json:"addr"`
	Role     Role   `json:"role"`
	Timeline uint32 `json:"timeline"`
	Flushed  string `json:"flushed"`
	Replayed string `json:"replayed"`
	// Sleeping counts the running calls of pg_sleep.
	Sleeping int64 `json:"sleeping"`
}

const controlHeaderTimeout = 5 * time.Second

// serveControl serves POST /v1/faults and GET /v1/status until ctx ends.
func (s *Server) serveControl(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/faults", s.handleFaults)
	mux.HandleFunc("GET /v1/status", s.handleStatus)
	server := &http.Server{Addr: s.opts.Control, Handler: mux, ReadHeaderTimeout: controlHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "control address")
	}
	return ctx.Err()
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var request FaultRequest
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.ApplyFaults(request)
	w.WriteHeader(http.StatusNoContent)
}

// ApplyFaults sets the fault switches that the request contains. Clear is applied
// before the other fields, Kill after them.
func (s *Server) ApplyFaults(r FaultRequest) {
	if r.Clear {
		s.faults.Clear()
	}
	if r.Stall != nil {
		s.faults.Stall(*r.Stall)
	}
	if r.ResponseDelayMS != nil {
		s.faults.DelayResponses(milliseconds(*r.ResponseDelayMS))
	}
	if r.DropAfterCommit != nil {
		s.faults.DropAfterCommit(*r.DropAfterCommit)
	}
	if r.PartitionedLinks != nil {
		s.faults.setPartitions(*r.PartitionedLinks)
	}
	if r.ReplayLagMS != nil {
		s.SetReplayLag(milliseconds(*r.ReplayLagMS))
	}
	if r.ReplicationDelayMS != nil {
		s.SetReplicationDelay(milliseconds(*r.ReplicationDelayMS))
	}
	if r.Kill {
		s.Kill()
	}
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func (s *Server) handleStatus(w http.ResponseWriter, _ *http.Request) {
	role, timelineID, flushed, replayed := s.Position()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Status{ // the client may have disconnected
		ID: s.opts.ID, Addr: s.Addr(), Role: role, Timeline: timelineID,
		Flushed: flushed.String(), Replayed: replayed.String(), Sleeping: s.sleepingCalls.Load(),
	})
}
