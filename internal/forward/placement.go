package forward

import (
	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenabridge/galenabridge/internal/route"
)

// placementReport shows the placement of home hosts by load in the metrics and the log.
type placementReport struct {
	log  *log.Logger
	last route.PlacementSummary

	active, placed, shared, homeServices, load, greatest prometheus.Gauge
	moved                                                prometheus.Counter
}

func newPlacementReport(reg prometheus.Registerer, logger *log.Logger) *placementReport {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: "galenabridge_placement_" + name, Help: help})
	}
	r := &placementReport{
		log:          logger,
		active:       gauge("active", "1 if home hosts are placed by declared load, because links are thin."),
		placed:       gauge("pairs", "Pairs of a workspace and a service that are placed by their load."),
		shared:       gauge("shared_pairs", "Pairs of a workspace and a service with several home hosts."),
		homeServices: gauge("home_services", "Services for which this host is home."),
		load:         gauge("load_bytes", "Declared load of this host as a home host, in bytes a second."),
		greatest:     gauge("greatest_load_bytes", "Greatest declared load of a home host, in bytes a second."),
		moved: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenabridge_placement_moved_pairs_total", Help: "Pairs placed by their load whose home hosts have changed.",
		}),
	}
	if reg != nil {
		reg.MustRegister(r.active, r.placed, r.shared, r.homeServices, r.load, r.greatest, r.moved)
	}
	return r
}

// update shows a placement and logs it if it differs from the last one.
func (r *placementReport) update(s route.PlacementSummary) {
	if s == r.last {
		return
	}
	moved := s.Moved - r.last.Moved
	logged := s.Active || r.last.Active
	r.last = s
	r.active.Set(0)
	if s.Active {
		r.active.Set(1)
	}
	r.placed.Set(float64(s.Placed))
	r.shared.Set(float64(s.Shared))
	r.homeServices.Set(float64(s.HomeServices))
	r.load.Set(float64(s.Load))
	r.greatest.Set(float64(s.GreatestLoad))
	r.moved.Add(float64(moved))
	if logged {
		r.log.Info("placement_changed", "active", s.Active, "pairs", s.Placed, "shared", s.Shared, "moved", moved,
			"home_services", s.HomeServices, "load_bytes", s.Load, "greatest_load_bytes", s.GreatestLoad, "link_bytes", s.Link)
	}
}
