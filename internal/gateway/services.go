package gateway

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/godwitlink/godwitlink/core/admission"
	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/cellconfig"
	"github.com/godwitlink/godwitlink/core/routing"
)

// serviceConfig is an immutable copy of the services in force. The router task publishes
// it; handlers only read it.
type serviceConfig struct {
	generation  cell.Generation
	confirmedAt time.Time
	staleAfter  time.Duration
	maxEntries  int
	draining    bool
	byPrefix    []cellconfig.Service // longest prefix first
	shares      map[cell.Team]float64
}

func newServiceConfig(file cellconfig.File, confirmedAt time.Time) *serviceConfig {
	s := &serviceConfig{
		generation:  file.Generation,
		confirmedAt: confirmedAt,
		staleAfter:  file.Cell.StaleAfter,
		maxEntries:  file.Cell.MaxEntries,
		byPrefix:    slices.Clone(file.Services),
		shares:      map[cell.Team]float64{},
	}
	slices.SortStableFunc(s.byPrefix, func(a, b cellconfig.Service) int {
		return len(b.PathPrefix) - len(a.PathPrefix)
	})
	for _, team := range file.Teams {
		s.shares[team.Name] = team.Share
	}
	return s
}

// match returns the service with the longest prefix of path.
func (s *serviceConfig) match(path string) (cellconfig.Service, bool) {
	for _, service := range s.byPrefix {
		if strings.HasPrefix(path, service.PathPrefix) {
			return service, true
		}
	}
	return cellconfig.Service{}, false
}

func (s *serviceConfig) stale(now time.Time) bool {
	return now.Sub(s.confirmedAt) > s.staleAfter
}

func (s *serviceConfig) leases() map[cell.Service]time.Duration {
	leases := map[cell.Service]time.Duration{}
	for _, service := range s.byPrefix {
		leases[service.Name] = service.AnnounceLease
	}
	return leases
}

func (s *serviceConfig) policies() map[cell.Service]routing.Policy {
	policies := map[cell.Service]routing.Policy{}
	for _, service := range s.byPrefix {
		policies[service.Name] = routing.Policy{
			Lease:              service.AnnounceLease,
			MaxEntries:         s.maxEntries,
			CrossRegionPenalty: service.CrossRegionPenalty,
			PanicThreshold:     service.PanicThreshold,
		}
	}
	return policies
}

func (s *serviceConfig) queueOptions(service cellconfig.Service) admission.Options {
	shares := map[cell.Team]float64{}
	for _, team := range service.Teams {
		shares[team] = s.shares[team]
	}
	return admission.Options{
		MaxQueue:    service.MaxQueue,
		Shares:      shares,
		RetryBudget: service.RetryBudget,
		Order:       admission.ShedOldest,
	}
}

// idempotent reports whether requests with this method may run more than once.
func idempotent(service cellconfig.Service, method string) bool {
	return slices.Contains(service.IdempotentMethods, method)
}

// clampDeadline returns the time that a request may take. millis is the time that the
// caller requested, or 0 if it requested none.
func clampDeadline(service cellconfig.Service, millis int64) time.Duration {
	if millis <= 0 {
		return service.DefaultDeadline
	}
	if millis > math.MaxInt64/int64(time.Millisecond) {
		return service.MaxDeadline
	}
	return min(time.Duration(millis)*time.Millisecond, service.MaxDeadline)
}
