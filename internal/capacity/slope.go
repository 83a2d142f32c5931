package capacity

import (
	"context"
	"fmt"
)

// SlopeID names a slope.
type SlopeID string

// The slopes.
const (
	HeartbeatBytes  SlopeID = "heartbeat-bytes"
	HeartbeatCPU    SlopeID = "heartbeat-cpu"
	FullBytes       SlopeID = "full-heartbeat-bytes"
	MemberWire      SlopeID = "member-bytes"
	PulseBytes      SlopeID = "pulse-bytes"
	DemandBytes     SlopeID = "demand-bytes"
	DemandCPU       SlopeID = "demand-cpu"
	MemberBytes     SlopeID = "member-memory"
	TickCPU         SlopeID = "tick-cpu"
	ShareCPU        SlopeID = "share-cpu"
	LoopCPU         SlopeID = "group-loop-cpu"
	LoopBytes       SlopeID = "group-memory"
	SlowLoopCPU     SlopeID = "group-slow-loop-cpu"
	StepCPU         SlopeID = "group-step-cpu"
	ChooseCPU       SlopeID = "choose-cpu"
	QuestionCPU     SlopeID = "question-cpu"
	QuestionBytes   SlopeID = "question-bytes"
	LinkBytes       SlopeID = "link-memory"
	CallerBytes     SlopeID = "caller-memory"
	CallerCPU       SlopeID = "caller-idle-cpu"
	ReadCPU         SlopeID = "read-cpu"
	ReadAllocs      SlopeID = "read-allocations"
	WriteCPU        SlopeID = "write-cpu"
	WriteAllocs     SlopeID = "write-allocations"
	StraightCPU     SlopeID = "straight-cpu"
	StraightAllocs  SlopeID = "straight-allocations"
	ApplyCPU        SlopeID = "apply-cpu"
	DecodeCPU       SlopeID = "decode-cpu"
	ObjectBytes     SlopeID = "object-memory"
	DigestBytes     SlopeID = "digest-bytes"
	ObjectsBytes    SlopeID = "objects-bytes"
	ListBytes       SlopeID = "list-bytes"
	EventBytes      SlopeID = "event-bytes"
	EventCPU        SlopeID = "event-cpu"
	EventMemory     SlopeID = "event-memory"
	VMCalls         SlopeID = "vm-calls"
	WaitingWatches  SlopeID = "waiting-watches"
	CallsPerChange  SlopeID = "calls-per-change"
	DaemonIdleCPU   SlopeID = "daemon-idle-cpu"
	DaemonIdleBytes SlopeID = "daemon-idle-memory"
)

// Slope is what one quantity costs at several sizes.
type Slope struct {
	ID SlopeID
	// What says what was measured, Size what is counted along the line and Unit the unit of the values.
	What string
	Size string
	Unit string

	Samples []Sample
	Line    Line
}

// Slopes are all that one run measured.
type Slopes map[SlopeID]Slope

// measure fills slopes that are measured together; run returns a value for each of them.
type measure struct {
	slopes []Slope
	sizes  []int
	run    func(ctx context.Context, size int) ([]float64, error)
}

func (m measure) measured(ctx context.Context) ([]Slope, error) {
	for _, size := range m.sizes {
		calm()
		values, err := m.run(ctx, size)
		if err != nil {
			return nil, fmt.Errorf("measure %s at %d: %w", m.slopes[0].ID, size, err)
		}
		for i, v := range values {
			m.slopes[i].Samples = append(m.slopes[i].Samples, Sample{Size: float64(size), Value: v})
		}
	}
	for i := range m.slopes {
		line, err := Fit(m.slopes[i].Samples)
		if err != nil {
			return nil, fmt.Errorf("fit %s: %w", m.slopes[i].ID, err)
		}
		m.slopes[i].Line = line
	}
	return m.slopes, nil
}

// Measure runs all measurements one after the other, in one process on loopback, and returns the slopes in their order.
func Measure(ctx context.Context, tell func(what SlopeID)) ([]Slope, error) {
	var out []Slope
	for _, m := range measures() {
		tell(m.slopes[0].ID)
		slopes, err := m.measured(ctx)
		if err != nil {
			return nil, err
		}
		out = append(out, slopes...)
	}
	return out, nil
}

func measures() []measure {
	return []measure{
		heartbeats(), fullHeartbeats(), pulses(), demands(), tables(), shares(),
		loops(), slowLoops(), machines(), questions(), questionBytes(),
		callers(), statements(straight), statements(reads), statements(writes),
		versions(), events(), daemons(),
	}
}

// ByID returns the slopes by their names.
func ByID(all []Slope) Slopes {
	out := Slopes{}
	for _, s := range all {
		out[s.ID] = s
	}
	return out
}
