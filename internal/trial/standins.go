package trial

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cactusfork/cactusfork/internal/process/config"
	"github.com/cactusfork/cactusfork/internal/process/control"
	"github.com/cactusfork/cactusfork/internal/process/platform"
	platformstand "github.com/cactusfork/cactusfork/internal/standin/platform"
	targetstand "github.com/cactusfork/cactusfork/internal/standin/target"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// TargetCount is the number of targets of the demo group.
const TargetCount = 3

// StandInConfig configures the stand-ins of the demo group and the platform.
type StandInConfig struct {
	// Target is the configuration that all targets share; ID, DataCentre and Listen are set for each target.
	Target targetstand.Config
	// Listen lists one listen address for each target; with an empty list each target listens on a free port.
	Listen []string
	// Platform is the listen address of the platform; an empty address means a free port.
	Platform string
}

// StandIns holds the running targets of the demo group and the running platform, which stores the group's record and its service.
type StandIns struct {
	Network  *targetstand.Network
	Targets  []*targetstand.Target
	Platform *platformstand.Server
}

// StartStandIns starts the targets of the demo group and the platform, and publishes the group's record and service. The stand-ins
// run until ctx ends.
func StartStandIns(ctx context.Context, cfg *StandInConfig, clk *clock.Clock) (*StandIns, error) {
	s := &StandIns{Network: targetstand.NewNetwork(clk)}
	rec := group.Record{ID: GroupID, Term: 1}
	for i := range TargetCount {
		c := cfg.Target
		c.ID = group.TargetID(fmt.Sprintf("%s-%c", GroupID, 'a'+i))
		c.DataCentre = DataCentre(i)
		if len(cfg.Listen) > 0 {
			c.Listen = cfg.Listen[i]
		}
		t, err := s.Network.Start(ctx, c)
		if err != nil {
			return nil, fmt.Errorf("start target: %w", err)
		}
		s.Targets = append(s.Targets, t)
		rec.Targets = append(rec.Targets, group.Target{
			ID: t.ID(), Address: t.Address(), DataCentre: t.DataCentre(), Slots: c.Slots, Connections: c.Connections,
		})
	}
	rec.Primary = s.Targets[0].ID()
	if err := s.Network.Bootstrap(ctx, rec.Primary, rec.Term, Schema); err != nil {
		return nil, fmt.Errorf("bootstrap group: %w", err)
	}
	var err error
	if s.Platform, err = platformstand.Start(ctx, platformstand.Config{Listen: cfg.Platform}); err != nil {
		return nil, fmt.Errorf("start platform: %w", err)
	}
	// A trial cannot begin without them, so that a busy machine may take long.
	store := platform.Dial(platform.Config{URL: s.Platform.URL(), Timeout: settleTimeout}, clk)
	return s, publishDemo(ctx, store, &rec)
}

// Store returns a new client of the platform with a timeout of 1 s.
func (s *StandIns) Store(clk *clock.Clock) *platform.Store {
	return platform.Dial(platform.Config{URL: s.Platform.URL(), Timeout: clock.Second}, clk)
}

// Primary returns the primary whose received log has the highest term, or the first target if there is no primary.
func (s *StandIns) Primary() *targetstand.Target {
	best := s.Targets[0]
	for _, t := range s.Targets {
		if st := t.Status(); st.Primary && st.Received.Term >= best.Status().Received.Term {
			best = t
		}
	}
	return best
}

func publishDemo(ctx context.Context, store *platform.Store, rec *group.Record) error {
	value, err := json.Marshal(rec)
	if err != nil {
		return fmt.Errorf("encode group record: %w", err)
	}
	if _, err := store.Put(ctx, control.GroupKey(rec.ID), value, 0); err != nil {
		return fmt.Errorf("publish group record: %w", err)
	}
	svc, err := service.Parse("precios.ini", []byte(ServiceFile))
	if err != nil {
		return fmt.Errorf("parse service file: %w", err)
	}
	if value, err = service.Encode(svc); err != nil {
		return fmt.Errorf("encode service: %w", err)
	}
	if _, err := store.Put(ctx, config.Services+platform.Key(svc.Name), value, 0); err != nil {
		return fmt.Errorf("publish service: %w", err)
	}
	return nil
}
