package quota

import (
	"cmp"
	"math"
	"slices"

	"github.com/cactusfork/cactusfork/internal/version/workspace"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// StartTokens is the level of a new bucket, and how much more than its part of the burst a bucket holds. Without the first, a
	// workspace with less than one operation a second for each part would be refused each time; without the second, the parts of a
	// small limit would refuse what the whole would grant, as each part holds a fraction of a token. A window takes up to
	// 2 x MaxParts operations of the slack of 20 for either: at most 2 issuers of a data centre start a bucket in one.
	StartTokens = 2
	// ReadyDelay is how long after its start a daemon does not issue tokens, because others that list the daemons every 4 s may
	// still ask the issuer before it. It is two lists and one that failed.
	ReadyDelay = 12 * clock.Second
	// handOverGap is the time without an ask after which a bucket gains at most StartTokens, in milliseconds: another issuer may
	// have granted the rest. Daemons that need tokens ask every 400 ms, and leave a silent issuer alone for 500 ms.
	handOverGap clock.Millis = 600
	// maxSpread is how far apart the retry times that an empty bucket announces may be, in milliseconds. It keeps many daemons from
	// asking for the same token.
	maxSpread clock.Millis = 500
	// maxBuckets bounds the memory of an issuer: a bucket takes about 150 bytes (BenchmarkMemory of process/quota).
	maxBuckets = 40_000
	// DefaultWindow is the time over which a limit has to hold.
	DefaultWindow = 5 * clock.Second
)

// Ask is a request for tokens of one workspace.
type Ask struct {
	Workspace workspace.ID
	Tokens    int
	// Version is the version of the configuration in which the requester found Limit.
	Version uint64
	// Limit is the whole limit, of which an issuer grants one of Parts equal parts.
	Limit workspace.Limit
	Parts int
	// Force is set when all issuers of the data centre have said that they are not ready.
	Force bool
}

// Grant is the answer to an Ask.
type Grant struct {
	Workspace workspace.ID
	Tokens    int
	// RetryAfter is the time until the next token, when fewer tokens were granted than asked for, or until the issuer is ready.
	RetryAfter clock.Millis
	// NotReady means that the daemon issues no tokens now, because it has just started or is stopping.
	NotReady bool
}

// Issuer holds one part of the limit of each workspace. It is not safe for concurrent use.
type Issuer struct {
	window    clock.Millis
	tolerance Tolerance
	readyAt   clock.Millis
	// stopping is true once the daemon drains.
	stopping bool
	buckets  map[workspace.ID]*bucket
	sweptAt  clock.Millis
}

// bucket is one part of the limit of a workspace.
type bucket struct {
	version uint64
	// configured is the limit of the configuration, and limit the one that is granted.
	configured, limit workspace.Limit
	// parts is the largest number of parts that was asked for within the last window; partsAt is when it was asked for.
	parts    int
	partsAt  clock.Millis
	level    float64
	filledAt clock.Millis
	askedAt  clock.Millis
	// announced is the latest time at which a requester was told to come back.
	announced clock.Millis
	// granted counts the tokens of the interval of one window that began at countedAt; grantedBefore those of the one before.
	countedAt              clock.Millis
	granted, grantedBefore int
}

// Tolerance is by how much the operations of a window may exceed rate x window + burst: by the share Overage of that, and by Slack
// operations. Issuers grant half of it, which serves callers that are within it, and keep the rest for faults.
type Tolerance struct {
	Overage, Slack float64
}

// apply returns the limit that issuers grant in place of l. The tokens of a window and of the time for which tokens before it are
// valid then use half of the tolerance; the burst gives up what a smaller one costs no caller whose demand lasts.
func (t Tolerance) apply(l workspace.Limit, window clock.Millis) workspace.Limit {
	if l.PerSecond <= 0 {
		return l
	}
	return workspace.Limit{
		PerSecond: l.PerSecond*(1+t.Overage/2) + t.Slack/2*float64(clock.Second)/float64(window),
		Burst:     l.Burst * max(0, 1-2*t.Overage),
	}
}

// NewIssuer returns an issuer of a daemon that started at the given time.
func NewIssuer(startedAt, window clock.Millis, t Tolerance) *Issuer {
	if window <= 0 {
		window = DefaultWindow
	}
	return &Issuer{window: window, tolerance: t, readyAt: startedAt + ReadyDelay, buckets: make(map[workspace.ID]*bucket)}
}

// Stop has the issuer answer that it is not ready, because its daemon drains.
func (i *Issuer) Stop() { i.stopping = true }

// Take grants as many of the tokens as the bucket of the workspace holds.
func (i *Issuer) Take(now clock.Millis, a Ask) Grant {
	g := Grant{Workspace: a.Workspace}
	if !a.Force && (i.stopping || now < i.readyAt) {
		g.NotReady, g.RetryAfter = true, i.readyAt-now
		if i.stopping {
			g.RetryAfter = ReadyDelay
		}
		return g
	}
	b := i.bucket(now, &a)
	if b == nil {
		g.RetryAfter = i.window
		return g
	}
	b.fill(now, i.window)
	limit := i.tolerance.apply(workspace.Limit{PerSecond: finite(a.Limit.PerSecond), Burst: finite(a.Limit.Burst)}, i.window)
	b.adopt(now, i.window, &a, limit)
	b.askedAt = now
	g.Tokens = max(0, min(a.Tokens, int(min(b.level, math.MaxInt32))))
	b.level -= float64(g.Tokens)
	b.granted += g.Tokens
	if g.Tokens < a.Tokens {
		g.RetryAfter = b.retryAfter(now, i.window)
	}
	return g
}

// bucket returns the bucket of the workspace, or nil if there are too many.
func (i *Issuer) bucket(now clock.Millis, a *Ask) *bucket {
	if now >= i.sweptAt+i.window {
		i.sweptAt = now
		i.dropIdle(now)
	}
	b := i.buckets[a.Workspace]
	if b == nil {
		if len(i.buckets) >= maxBuckets {
			return nil
		}
		b = &bucket{level: StartTokens, filledAt: now, askedAt: now, countedAt: now}
		i.buckets[a.Workspace] = b
	}
	return b
}

// dropIdle drops the buckets that have not been asked for a window. They start anew, as they would if they were kept, but for
// the version: a requester with an older configuration and a higher limit may then be the first to ask again, so buckets whose
// limit was taken from a newer version are kept for ten windows.
func (i *Issuer) dropIdle(now clock.Millis) {
	for id, b := range i.buckets {
		if now >= b.askedAt+keptWindows*i.window {
			delete(i.buckets, id)
		}
	}
}

// keptWindows is how many windows an idle bucket is kept for its version. A new version reaches every daemon that is not cut off within 5 s.
const keptWindows = 10

// fill adds the tokens of the time since the last ask. A bucket that has not been asked for a window starts anew, because another
// issuer may have granted the part of the data centre.
func (b *bucket) fill(now, window clock.Millis) {
	added := b.rate() * float64(now-b.filledAt) / float64(clock.Second)
	idle := now - b.askedAt
	if idle > handOverGap {
		added = min(added, StartTokens)
	}
	if idle >= window {
		b.level = min(b.level, StartTokens)
		added = min(added, StartTokens-b.level)
	}
	b.level = min(b.level+max(0, added), b.capacity())
	b.filledAt = now
	for now >= b.countedAt+window {
		if now >= b.countedAt+2*window {
			b.countedAt, b.granted, b.grantedBefore = now, 0, 0
			break
		}
		b.countedAt, b.granted, b.grantedBefore = b.countedAt+window, 0, b.granted
	}
}

// adopt takes over the limit l of an ask with a newer version, and the number of parts.
func (b *bucket) adopt(now, window clock.Millis, a *Ask, l workspace.Limit) {
	if a.Version > b.version || b.parts == 0 {
		b.version, b.configured, b.limit = a.Version, a.Limit, l
	}
	// Requesters that know fewer data centres may have an older list of daemons.
	if parts := max(1, a.Parts); parts >= b.parts || now >= b.partsAt+window {
		b.parts, b.partsAt = parts, now
	}
	b.level = min(b.level, b.capacity())
}

// finite returns a number that is at least 0.
func finite(x float64) float64 {
	if math.IsNaN(x) || x < 0 {
		return 0
	}
	return min(x, math.MaxInt32)
}

// rate returns the tokens that the bucket gains in a second.
func (b *bucket) rate() float64 { return b.limit.PerSecond / float64(max(1, b.parts)) }

// capacity returns the tokens that the bucket holds at most. Nothing is granted at a rate of 0.
func (b *bucket) capacity() float64 {
	if b.parts == 0 {
		return StartTokens
	}
	if b.limit.PerSecond <= 0 {
		return 0
	}
	return b.limit.Burst/float64(b.parts) + StartTokens
}

// retryAfter returns the time until the next token that was not announced to another requester.
func (b *bucket) retryAfter(now, window clock.Millis) clock.Millis {
	rate := b.rate()
	if rate <= 0 {
		return window
	}
	next := clock.Millis(math.Ceil(min(float64(window), max(0, 1-b.level)/rate*float64(clock.Second))))
	interval := clock.Millis(min(float64(maxSpread), float64(clock.Second)/rate))
	at := now + max(1, next)
	if b.announced >= now {
		at = min(max(at, b.announced+interval), at+maxSpread)
	}
	b.announced = at
	return at - now
}

// Status describes the bucket of a workspace.
type Status struct {
	Workspace workspace.ID
	Version   uint64
	Limit     workspace.Limit
	Parts     int
	// PerSecond is this issuer's part of the rate, and Used how many tokens it has granted a second over one to two windows.
	PerSecond, Used float64
}

// Busiest returns the status of at most n workspaces, those with the most granted tokens first.
func (i *Issuer) Busiest(now clock.Millis, n int) []Status {
	list := make([]Status, 0, len(i.buckets))
	for id, b := range i.buckets {
		granted, since := b.granted+b.grantedBefore, b.countedAt
		if b.grantedBefore > 0 {
			since -= i.window
		}
		s := Status{Workspace: id, Version: b.version, Limit: b.configured, Parts: b.parts, PerSecond: b.rate()}
		s.Used = float64(granted) * float64(clock.Second) / float64(max(now-since, i.window))
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Status) int {
		return cmp.Or(cmp.Compare(b.Used, a.Used), cmp.Compare(a.Workspace, b.Workspace))
	})
	return list[:min(n, len(list))]
}
