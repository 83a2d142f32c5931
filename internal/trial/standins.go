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

// Members is the number of targets of the demo's group.
const Members = 3

// StandInConfig says how the demo's group and platform run; empty addresses are free ones.
type StandInConfig struct {
	// Target is what all targets have alike; ID, DataCentre and Listen are filled in for each.
	Target targetstand.Config
	// Listen are the addresses of the targets, one each, or none.
	Listen   []string
	Platform string
}

// StandIns are the demo's running group and platform, with its record and service published.
type StandIns struct {
	Network  *targetstand.Network
	Targets  []*targetstand.Target
	Platform *platformstand.Server
}

// StartStandIns starts the demo's group and platform; they end with ctx.
func StartStandIns(ctx context.Context, cfg *StandInConfig, clk *clock.Clock) (*StandIns, error) {
	s := &StandIns{Network: targetstand.NewNetwork(clk)}
	rec := group.Record{ID: GroupID, Term: 1}
	for i := range Members {
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
	return s, publishDemo(ctx, s.Store(clk), &rec)
}

// Store returns a new link to the platform, as an operator's command has.
func (s *StandIns) Store(clk *clock.Clock) *platform.Store {
	return platform.Dial(platform.Config{URL: s.Platform.URL(), Timeout: clock.Second}, clk)
}

// Primary is the target that takes writes at the highest term.
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
		return fmt.Errorf("encode group: %w", err)
	}
	if _, err := store.Put(ctx, control.GroupKey(rec.ID), value, 0); err != nil {
		return fmt.Errorf("put group: %w", err)
	}
	svc, err := service.Parse("precios.ini", []byte(ServiceFile))
	if err != nil {
		return fmt.Errorf("parse service: %w", err)
	}
	if value, err = service.Encode(svc); err != nil {
		return fmt.Errorf("encode service: %w", err)
	}
	if _, err := store.Put(ctx, config.Services+platform.Key(svc.Name), value, 0); err != nil {
		return fmt.Errorf("put service: %w", err)
	}
	return nil
}
