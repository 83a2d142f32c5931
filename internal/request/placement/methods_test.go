package placement

import (
	"fmt"
	"math"
	"testing"
)

// The methods that docs/design/even-load.md compares.

func pickCheapest(r *replay, _ *replayChooser, list []Candidate, n Need) int {
	i, _ := Choose(list, r.millis(), n)
	return i
}

func pickEven(r *replay, _ *replayChooser, list []Candidate, n Need) int {
	i, _ := ChooseEven(list, r.millis(), n, r.rng.IntN)
	return i
}

// pickEvenWithoutSlowStart gives a target that has returned its whole share at once.
func pickEvenWithoutSlowStart(r *replay, c *replayChooser, list []Candidate, n Need) int {
	for i := range list {
		list[i].SlowStart = SlowStart{}
	}
	return pickEven(r, c, list, n)
}

// leastLoaded picks the candidate with the least load per slot. It skips failing targets, as Choose does while another one is left.
func leastLoaded(load func(r *replay, c *replayChooser, list []Candidate, i int) float64) pickMethod {
	return func(r *replay, c *replayChooser, list []Candidate, n Need) int {
		i, _ := choose(list, r.millis(), &n, r.rng.IntN(len(list)), func(t *Candidate) float64 {
			i := indexOfCandidate(list, t)
			return (load(r, c, list, i)+1)/float64(t.Slots) + fixedCost(t, r.millis(), &n)
		})
		return i
	}
}

func indexOfCandidate(list []Candidate, t *Candidate) int {
	for i := range list {
		if &list[i] == t {
			return i
		}
	}
	return -1
}

// pickTwoRandom takes the cheaper of two candidates drawn at random by their slots.
func pickTwoRandom(r *replay, _ *replayChooser, list []Candidate, n Need) int {
	drawn := make([]float64, len(list))
	for i := range list {
		drawn[i] = math.Pow(r.rng.Float64(), 1/float64(list[i].Slots))
	}
	least := 0
	for i := range drawn {
		if drawn[i] < drawn[least] {
			least = i
		}
	}
	if !n.PrimaryOnly && len(n.Tried) == 0 {
		n.Tried = append(n.Tried, list[least].ID)
	}
	i, _ := Choose(list, r.millis(), n)
	return i
}

func ownLoad(_ *replay, _ *replayChooser, list []Candidate, i int) float64 {
	return float64(list[i].Load)
}

// ownShare evens out the mean load alone, so that each chooser gives each target its share of the work.
func ownShare(_ *replay, _ *replayChooser, list []Candidate, i int) float64 {
	return list[i].MeanLoad * float64(list[i].Choosers)
}

// reported returns the load of a target in the last report.
func reported(r *replay, c *replayChooser, _ []Candidate, i int) float64 {
	v, history := &c.targets[i], r.targets[i].loadHistory
	if v.reportAt == 0 || r.now >= v.reportAt+r.reportEvery {
		v.reportAt = r.now
		if n := len(history) - 50; n >= 0 {
			v.report = float64(history[n])
		}
		if r.wrongReports {
			v.report = float64(r.rng.IntN(4 * r.targets[i].slots))
		}
	}
	return v.report
}

func reportedAndOwn(r *replay, c *replayChooser, list []Candidate, i int) float64 {
	return reported(r, c, list, i) + float64(list[i].Load)
}

// reportedDecayed weighs the report by its age, and the expected load of all choosers with the rest.
func reportedDecayed(r *replay, c *replayChooser, list []Candidate, i int) float64 {
	report := reported(r, c, list, i)
	weight := math.Exp(-(r.now - c.targets[i].reportAt + 50) / 100)
	expected := ownLoadWeight*float64(list[i].Load) + list[i].MeanLoad*float64(list[i].Choosers-1)
	return weight*(report+float64(list[i].Load)) + (1-weight)*expected
}

// allLoads is the load of all choosers without delay: what no chooser can know.
func allLoads(r *replay, _ *replayChooser, _ []Candidate, i int) float64 {
	sum := 0
	for _, c := range r.choosers {
		sum += c.targets[i].load
	}
	return float64(sum)
}

var replayCases = []replayCase{
	{name: "2 homes", slots: [3]int{3, 3, 3}, choosers: 2, service: 20},
	{name: "4 homes", slots: [3]int{4, 4, 4}, choosers: 4, service: 20},
	{name: "6 homes", slots: [3]int{6, 6, 6}, choosers: 6, service: 20},
	{name: "6 homes, statements of 5 ms", slots: [3]int{3, 3, 3}, choosers: 6, service: 5},
	{name: "6 homes in one data centre", slots: [3]int{6, 6, 6}, choosers: 6, oneZone: true, service: 20},
	{name: "6 homes, uneven slots", slots: [3]int{4, 2, 6}, choosers: 6, service: 20},
	{name: "6 homes, slow target", slots: [3]int{6, 6, 6}, choosers: 6, service: 20, slow: true},
	{name: "6 homes, target returns", slots: [3]int{6, 6, 6}, choosers: 6, service: 20, stop: true},
	{name: "138 daemons", slots: [3]int{4, 4, 4}, choosers: 138, direct: true, service: 20},
	{name: "138 daemons, slow target", slots: [3]int{4, 4, 4}, choosers: 138, direct: true, service: 20, slow: true},
}

const replaySeeds = 16

// measured holds the figures of Choose and ChooseEven, which several tests need.
var measured = map[string]figures{}

func measure(cs replayCase, method string) figures {
	pick := map[string]pickMethod{"Choose": pickCheapest, "ChooseEven": pickEven}[method]
	key := fmt.Sprint(cs, method)
	if _, ok := measured[key]; !ok {
		measured[key] = meanFigures(cs, pick)
	}
	return measured[key]
}

// meanFigures returns the means over the seeds 1 to replaySeeds.
func meanFigures(cs replayCase, pick pickMethod) figures {
	var m figures
	for seed := range uint64(replaySeeds) {
		f := runReplay(cs, seed+1, pick)
		m.busiest += f.busiest / replaySeeds
		m.idle += f.idle / replaySeeds
		m.free += f.free / replaySeeds
		m.wait50 += f.wait50 / replaySeeds
		m.wait99 += f.wait99 / replaySeeds
		m.herd += f.herd / replaySeeds
		m.statements += f.statements
		m.busy += f.busy
		m.expired += f.expired
		m.queries += f.queries
	}
	return m
}

func (f figures) String() string {
	return fmt.Sprintf("busiest over mean %.2f, queue beside idle target %.2f %%, beside free slot %.1f %%, wait p50 %.1f ms, p99 %.0f ms, herd %.1f, of %d statements %d refused, %d expired; %d queries",
		f.busiest, 100*f.idle, 100*f.free, f.wait50, f.wait99, f.herd, f.statements, f.busy, f.expired, f.queries)
}

// TestCompareMethods logs the figures of docs/design/even-load.md; it checks nothing.
func TestCompareMethods(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("the figures are only logged")
	}
	methods := []struct {
		name        string
		pick        pickMethod
		reportEvery float64
		wrong       bool
	}{
		{"Choose", pickCheapest, 0, false},
		{"two random choices", pickTwoRandom, 0, false},
		{"own statements", leastLoaded(ownLoad), 0, false},
		{"own shares", leastLoaded(ownShare), 0, false},
		{"last report, 500 ms", leastLoaded(reported), 500, false},
		{"last report and own, 50 ms", leastLoaded(reportedAndOwn), 50, false},
		{"last report and own, 2 s", leastLoaded(reportedAndOwn), 2000, false},
		{"decayed report, 50 ms", leastLoaded(reportedDecayed), 50, false},
		{"decayed report, 500 ms", leastLoaded(reportedDecayed), 500, false},
		{"wrong report, 500 ms", leastLoaded(reportedAndOwn), 500, true},
		{"wrong decayed report, 500 ms", leastLoaded(reportedDecayed), 500, true},
		{"ChooseEven", pickEven, 0, false},
		{"ChooseEven without slow start", pickEvenWithoutSlowStart, 0, false},
		{"all loads, no delay", leastLoaded(allLoads), 0, false},
	}
	for _, cs := range replayCases {
		for _, m := range methods {
			cs.reportEvery, cs.wrongReports = m.reportEvery, m.wrong
			t.Logf("%s | %s: %v", cs.name, m.name, meanFigures(cs, m.pick))
		}
	}
}
