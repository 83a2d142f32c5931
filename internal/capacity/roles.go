package capacity

import (
	"errors"
	"fmt"
	"math/bits"

	"github.com/cactusfork/cactusfork/internal/connection/target"
	"github.com/cactusfork/cactusfork/internal/process/entry"
)

// ErrNotMeasured means that a figure needs a slope that was not measured.
var ErrNotMeasured = errors.New("slope not measured")

// Unit is the unit of a figure.
type Unit string

// The units of figures.
const (
	Core      Unit = "% of a core"
	Megabytes Unit = "MB"
	KBs       Unit = "KB/s"
	Calls     Unit = "calls/s"
	Seconds   Unit = "s"
	PerSecond Unit = "messages/s"
	Number    Unit = ""
)

// Row is one figure of a role.
type Row struct {
	Role  string
	What  string
	Value float64
	Unit  Unit
	// Limit is 0 where there is none.
	Limit float64
}

// estimate works figures out of slopes.
type estimate struct {
	slopes  Slopes
	n       Size
	p       pace
	missing []SlopeID
	rows    []Row
}

// Rows works out the figures of all roles; its error wraps ErrNotMeasured.
func Rows(slopes Slopes, n Size) ([]Row, error) {
	e := &estimate{slopes: slopes, n: n, p: paceOfToday()}
	e.entryDaemon()
	e.everyGroup()
	e.configuration()
	e.bridge()
	e.home()
	e.coordinator()
	e.caller()
	e.platform()
	e.faults()
	if len(e.missing) > 0 {
		return nil, fmt.Errorf("%w: %v", ErrNotMeasured, e.missing)
	}
	return e.rows, nil
}

func (e *estimate) of(id SlopeID) Slope {
	s, ok := e.slopes[id]
	if !ok {
		e.missing = append(e.missing, id)
	}
	return s
}

func (e *estimate) at(id SlopeID, size float64) float64 { return e.of(id).Line.At(size) }

func (e *estimate) each(id SlopeID) float64 { return e.of(id).Line.Slope }

// flat is the mean of what does not depend on the size.
func (e *estimate) flat(id SlopeID) float64 {
	_, value := means(e.of(id).Samples)
	return value
}

func (e *estimate) add(role, what string, value float64, u Unit, limit float64) {
	e.rows = append(e.rows, Row{Role: role, What: what, Value: value, Unit: u, Limit: limit})
}

// core, kilobytes and megabytes turn µs/s and bytes into the units of the limits.
func core(micros float64) float64     { return micros / 1e6 * 100 }
func kilobytes(bytes float64) float64 { return bytes / 1e3 }
func megabytes(bytes float64) float64 { return bytes / 1e6 }

// heartbeat is the bytes of an exchange that carries the pulses of all data centres.
func (e *estimate) heartbeat() float64 {
	return e.flat(HeartbeatBytes) + e.each(PulseBytes)*(e.n.DataCentres-1)
}

// published is the changes of configuration a second.
func (e *estimate) published() float64 { return e.n.Published / day }

// targets is the number of targets that a daemon asks which holds so many groups.
func (e *estimate) targets(groups float64) float64 { return groups * e.n.Targets }

const maxDemand = 2048 // demands that a daemon says, as the members' table bounds them

func (e *estimate) entryDaemon() {
	const role = "entry daemon"
	n := e.n.Daemons
	e.add(role, "heartbeats begun and answered", 2*e.p.heartbeats, PerSecond, 0)
	e.add(role, "heartbeats of its data centre", 2*e.p.heartbeats*kilobytes(e.heartbeat()), KBs, networkLimit)
	e.add(role, "the same, 2,048 demands said", 2*e.p.heartbeats*kilobytes(e.heartbeat()+e.each(DemandBytes)*maxDemand), KBs, networkLimit)
	e.add(role, "heartbeats of its data centre", e.p.heartbeats*core(e.flat(HeartbeatCPU)), Core, coreLimit)
	e.add(role, "the same, 2,048 demands said", e.p.heartbeats*core(e.flat(HeartbeatCPU)+e.each(DemandCPU)*maxDemand), Core, coreLimit)
	e.add(role, "members' table, periods", e.p.heartbeats*core(e.at(TickCPU, n)), Core, coreLimit)
	e.add(role, "members' table", megabytes(e.at(MemberBytes, n)), Megabytes, memoryLimit)
	e.add(role, "whole daemon without groups and callers", core(e.each(DaemonIdleCPU)), Core, coreLimit)
	e.add(role, "whole daemon without groups and callers", megabytes(e.each(DaemonIdleBytes)), Megabytes, memoryLimit)
}

// divided is the number of things of a target that daemons divide: slots and connections.
const divided = 2

// watching adds what a daemon pays that holds so many groups.
func (e *estimate) watching(role, how string, groups float64) {
	asked := e.targets(groups) * e.p.questions
	e.add(role, how+", questions asked", asked, PerSecond, 0)
	e.add(role, how+", loop and machines", core(e.each(LoopCPU)*groups), Core, coreLimit)
	e.add(role, how+", questions, target's end included", core(e.each(QuestionCPU)*asked), Core, coreLimit)
	e.add(role, how+", questions", kilobytes(e.each(QuestionBytes)*asked), KBs, networkLimit)
	e.add(role, how+", machines and connections, target's end included",
		megabytes(e.each(LoopBytes)*groups+e.each(LinkBytes)*e.targets(groups)), Megabytes, memoryLimit)
	e.add(role, how+", shares of slots and connections, scan of demands not measured",
		core(divided*e.at(ShareCPU, e.n.Daemons)*e.targets(groups)*e.p.shares), Core, coreLimit)
}

func (e *estimate) everyGroup() { e.watching("entry daemon", "today: all groups", e.n.Groups) }

const (
	largestMessage = 2 << 20 // bytes that a peer takes
	inForceWithin  = 7       // seconds
	ring           = 20_000  // events that a daemon keeps
)

// keptNames is the bytes of the keys that the events of a day name, as many events as the ring keeps.
func (e *estimate) keptNames() float64 {
	key := e.at(DigestBytes, e.n.Objects) / e.n.Objects
	return min(ring, e.n.Published) * entry.NamedKeys * key
}

func (e *estimate) configuration() {
	const role = "entry daemon"
	all := e.n.Objects
	digest := e.at(DigestBytes, all)
	change := e.at(ApplyCPU, all) + e.at(DecodeCPU, all)
	e.add(role, "change of configuration: applied, changed object decoded, all gathered", core(change*e.published()), Core, coreLimit)
	e.add(role, "one change of configuration: processor time until it is in force", change/1e6, Seconds, inForceWithin)
	e.add(role, "change of configuration: all keys listed, once a change", kilobytes(digest*e.published()), KBs, networkLimit)
	e.add(role, "list of all keys in one message", megabytes(digest), Megabytes, megabytes(largestMessage))
	e.add(role, "objects in force", megabytes(e.at(ObjectBytes, all)), Megabytes, memoryLimit)
	e.add(role, "change of configuration: events that name 16 keys each, a ring of 20,000 full of them", megabytes(e.keptNames()), Megabytes, memoryLimit)
	e.add(role, "start: all objects from peers", megabytes(e.at(ObjectsBytes, all)), Megabytes, 0)
}

// bridge is a daemon that speaks for its data centre: it asks all others in each period and is asked as often.
func (e *estimate) bridge() {
	const role = "bridge of a data centre"
	asks := e.p.heartbeats * (e.n.DataCentres - 1)
	e.add(role, "heartbeats to other data centres, begun and answered", 2*asks, PerSecond, 0)
	e.add(role, "heartbeats to other data centres", 2*asks*kilobytes(e.heartbeat()), KBs, networkLimit)
	e.add(role, "heartbeats to other data centres", asks*core(e.flat(HeartbeatCPU)), Core, coreLimit)
}

// homed is the number of groups of a daemon when each has its homes.
func (e *estimate) homed() float64 { return e.n.Groups * e.n.Homes / e.n.Daemons }

func (e *estimate) home() {
	const role = "home of a group"
	e.watching(role, fmt.Sprintf("%.0f homes a group", e.n.Homes), e.homed())
	e.slowHome(role)
	e.add(role, "shortest interval of questions, two homes a group", e.interval(e.each(QuestionBytes)), Seconds, 0)
	e.add(role, "the same, the text of the question left out", e.interval(e.bare()), Seconds, 0)
}

// slowHome adds what a daemon pays when two homes ask each target once a second.
func (e *estimate) slowHome(role string) {
	const how = "2 homes a group that ask once a second"
	groups := 2 * e.n.Groups / e.n.Daemons
	asked := e.targets(groups)
	e.add(role, how+", questions asked", asked, PerSecond, 0)
	e.add(role, how+", loop and machines", core(e.each(SlowLoopCPU)*groups), Core, coreLimit)
	e.add(role, how+", questions, target's end included", core(e.each(QuestionCPU)*asked), Core, coreLimit)
	e.add(role, how+", questions", kilobytes(e.each(QuestionBytes)*asked), KBs, networkLimit)
	e.add(role, how+", questions without their text", kilobytes(e.bare()*asked), KBs, networkLimit)
	e.add(role, "sum: the same, idle daemon, members' table",
		core(e.each(SlowLoopCPU)*groups+e.each(QuestionCPU)*asked+e.each(DaemonIdleCPU)+e.p.heartbeats*e.at(TickCPU, e.n.Daemons)), Core, coreLimit)
	e.add(role, "sum: questions without their text, heartbeats", kilobytes(e.bare()*asked+2*e.p.heartbeats*e.heartbeat()), KBs, networkLimit)
}

// bare is the bytes of a question and its answer without the question's text.
func (e *estimate) bare() float64 {
	return e.each(QuestionBytes) - float64(len(target.StatusQuery))
}

// interval is how far apart the questions to a target must be for the network limit when two homes ask.
func (e *estimate) interval(bytes float64) float64 {
	return e.targets(e.n.Groups) * 2 / e.n.Daemons * kilobytes(bytes) / networkLimit
}

func (e *estimate) coordinator() {
	const role = "coordinator"
	ask := func(daemons float64) float64 { return core(e.each(QuestionCPU) * daemons * e.p.questions) }
	outage := e.n.Changes / 24 // groups changed in an hour without the platform
	e.add(role, "today: daemons that may start one change", e.n.Daemons, Number, 0)
	e.add(role, "homes: daemons that may start one change", e.n.Homes, Number, 0)
	e.add(role, "today: connections to one target, warm ones and one for control", e.n.Daemons*(e.p.warm+1), Number, 0)
	e.add(role, "homes: connections to one target, warm ones and one for control", e.n.Homes*(e.p.warm+1), Number, 0)
	e.add(role, "today: one target asked by all, both ends", ask(e.n.Daemons), Core, 0)
	e.add(role, "homes: one target asked by its homes, both ends", ask(e.n.Homes), Core, 0)
	e.add(role, "today: records repaired after an hour without platform", outage*e.n.Daemons/e.p.recordRetry, Calls, writeLimit)
	e.add(role, "homes: records repaired after an hour without platform", outage*e.n.Homes/e.p.recordRetry, Calls, writeLimit)
}

func (e *estimate) caller() {
	const role = "caller connection"
	n := e.n.Callers / e.n.Daemons
	s := e.n.Statements / e.n.Daemons
	e.add(role, "connections of a daemon", n, Number, 0)
	e.add(role, "their memory, idle", megabytes(e.each(CallerBytes)*n), Megabytes, 0)
	e.add(role, "their sweeps, idle", core(e.each(CallerCPU)*n), Core, 0)
	e.add(role, "statements of a daemon a second", s, Number, 0)
	e.add(role, "all reads, less the straight path", core((e.each(ReadCPU)-e.each(StraightCPU))*s), Core, 0)
	e.add(role, "all writes, less the straight path", core((e.each(WriteCPU)-e.each(StraightCPU))*s), Core, 0)
	e.add(role, "choice of targets", core(e.each(ChooseCPU)*s), Core, 0)
}

const watchers = 2 // of a data centre

func (e *estimate) platform() {
	const role = "platform"
	all := e.n.DataCentres * watchers
	e.add(role, "today: VM list read by every daemon", e.each(VMCalls)*e.n.Daemons, Calls, readLimit)
	e.add(role, "watchers only: VM list", e.each(VMCalls)*all, Calls, readLimit)
	e.add(role, "watches that wait", e.flat(WaitingWatches)*e.n.DataCentres, Number, readLimit)
	e.add(role, "watches answered, one a change", e.flat(CallsPerChange)*e.n.DataCentres*e.published(), Calls, readLimit)
	e.add(role, "writes at rest: changes of configuration and of primary", e.published()+e.n.Changes/day, Calls, writeLimit)
	e.add(role, "one list of all objects, largest answer taken", megabytes(e.at(ListBytes, e.n.Objects)), Megabytes, megabytes(largestAnswer))
	e.add(role, "return after an outage: lists of all watchers", megabytes(e.at(ListBytes, e.n.Objects))*all, Megabytes, 0)
}

const largestAnswer = 64 << 20 // bytes that a daemon takes from the platform

func (e *estimate) faults() {
	const role = "faults"
	told := e.p.tellings * float64(bits.Len(uint(e.n.Daemons)))
	rumour := told * e.each(MemberWire)
	beats := 2 * e.p.heartbeats
	spread := func(members float64) float64 { return members * told / e.p.rumours / beats }
	e.add(role, "2,300 replacements a day: ends and starts told", kilobytes(2*2*e.n.Replaced/day*rumour), KBs, networkLimit)
	e.add(role, "rack: time in which one daemon tells all ends", spread(e.n.Rack), Seconds, 0)
	e.add(role, "data centre: time until its members are held lost", e.p.lostAfter, Seconds, 0)
	e.add(role, "data centre: records written, one a group whose primary was there, in 9 s", e.n.Groups/e.n.DataCentres/changeWithin, Calls, writeLimit)
	e.add(role, "region: records written in 9 s", e.n.Groups/e.n.Regions/changeWithin, Calls, writeLimit)
	e.add(role, "return of a region: one exchange of all members", megabytes(e.at(MemberWire, e.n.Daemons)), Megabytes, megabytes(largestMessage))
}

const changeWithin = 9 // seconds
