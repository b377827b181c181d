package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	announceTimeout  = 2 * time.Second
	announcePath     = "/v1/announce"
	maxAnnounceBytes = 64 << 10
)

// Announcement reports an endpoint's address, role and flushed position to the
// fleet. LSN has the format of LSN.String.
type Announcement struct {
	Service  string `json:"service"`
	ID       string `json:"id"`
	Addr     string `json:"addr"`
	Domain   string `json:"domain"`
	Role     Role   `json:"role"`
	Timeline uint32 `json:"timeline"`
	LSN      string `json:"lsn"`
}

// announceResponse names the primary that the fleet has agreed on. Primary is
// empty while there is none.
type announceResponse struct {
	Term        uint64 `json:"term"`
	Primary     string `json:"primary"`
	PrimaryAddr string `json:"primary_addr"`
}

// announce posts an announcement every AnnounceInterval. After a failure it
// switches to the next admin address. It returns when ctx ends.
func (s *Server) announce(ctx context.Context) error {
	if len(s.opts.Admins) == 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	client := s.announceClient()
	defer client.CloseIdleConnections()
	for i := 0; ; {
		response, err := s.postAnnouncement(ctx, client, s.opts.Admins[i%len(s.opts.Admins)])
		if err != nil {
			s.opts.Logger.Debug("standin_announce_failed", "id", s.opts.ID, "err", err.Error())
			i++
		} else {
			s.handleAnnounceResponse(ctx, response)
		}
		if err := waitForChange(ctx, nil, nil, s.opts.AnnounceInterval); err != nil {
			return err
		}
	}
}

func (s *Server) announceClient() *http.Client {
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return newFaultConn(conn, s.faults, LinkAnnouncements), nil
	}
	return &http.Client{
		Timeout:   announceTimeout,
		Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1},
	}
}

func (s *Server) announcement() Announcement {
	role, timelineID, flushed, _ := s.Position()
	addr := s.opts.Advertise
	if addr == "" {
		addr = s.Addr()
	}
	return Announcement{
		Service: s.opts.Service, ID: s.opts.ID, Addr: addr, Domain: s.opts.Domain,
		Role: role, Timeline: timelineID, LSN: flushed.String(),
	}
}

func (s *Server) postAnnouncement(ctx context.Context, client *http.Client, admin string) (announceResponse, error) {
	var response announceResponse
	body, err := json.Marshal(s.announcement())
	if err != nil {
		return response, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+admin+announcePath, bytes.NewReader(body))
	if err != nil {
		return response, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := client.Do(req)
	if err != nil {
		return response, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnnounceBytes))
	if err != nil {
		return response, err
	}
	if res.StatusCode != http.StatusOK {
		return response, errors.Errorf("announcement rejected with status %s: %s", res.Status, data)
	}
	return response, json.Unmarshal(data, &response)
}

// handleAnnounceResponse acts on the primary that a response names. A replica
// follows it. A primary demotes itself only after it has checked that the named
// endpoint is a primary on a newer timeline.
func (s *Server) handleAnnounceResponse(ctx context.Context, response announceResponse) {
	if response.Primary == "" || response.Primary == s.opts.ID || response.PrimaryAddr == "" {
		return
	}
	if !s.isPrimary() {
		s.SetUpstream(response.PrimaryAddr)
		return
	}
	newer, err := s.isNewerPrimary(ctx, response.PrimaryAddr)
	if err != nil || !newer {
		s.opts.Logger.Debug("standin_primary_named", "id", s.opts.ID, "primary", response.Primary, "err", fmt.Sprint(err))
		return
	}
	if err := s.demote(response.PrimaryAddr); err != nil {
		s.opts.Logger.Error("standin_demote_failed", "id", s.opts.ID, "err", err.Error())
	}
}

// isNewerPrimary queries the endpoint at addr and reports whether it is a primary
// on a newer timeline than this endpoint.
func (s *Server) isNewerPrimary(ctx context.Context, addr string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := s.dial(ctx, addr, false)
	if err != nil {
		return false, err
	}
	defer conn.Close(ctx)
	results, err := conn.Exec(ctx, "select pg_is_in_recovery(), timeline_id from pg_control_checkpoint()").ReadAll()
	if err != nil {
		return false, err
	}
	if len(results) != 1 || len(results[0].Rows) != 1 {
		return false, errors.New("unexpected query result from the announced primary")
	}
	row := results[0].Rows[0]
	var timelineID uint32
	if err := json.Unmarshal(row[1], &timelineID); err != nil {
		return false, errors.Wrap(err, "timeline")
	}
	return string(row[0]) == "f" && timelineID > s.wal.currentTimeline(), nil
}
