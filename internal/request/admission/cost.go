package admission

import "sync"

const (
	// costWeight is the weight of a new statement in the cost of its route.
	costWeight = 0.02
	// maxCost bounds the cost of a route, so that none is refused whenever anything waits.
	maxCost = 4.0
)

// Costs holds the usual work of the statements of each route, as a multiple of the mean work at their targets. The ratio leaves out
// how busy and how fast a target is. It is safe for concurrent use.
type Costs struct {
	mu      sync.Mutex
	byRoute map[string]float64
}

// NewCosts returns costs that know no route.
func NewCosts() *Costs { return &Costs{byRoute: make(map[string]float64)} }

// Observe records how long a statement of the route took at a target whose mean is given, both in milliseconds.
func (c *Costs) Observe(route string, took, mean float64) {
	if mean <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cost, known := c.byRoute[route]
	if !known {
		cost = 1
	}
	c.byRoute[route] = cost + costWeight*(min(took/mean, 2*maxCost)-cost)
}

// Of returns the cost of the route; 1 if it is not known.
func (c *Costs) Of(route string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cost, known := c.byRoute[route]; known {
		return min(cost, maxCost)
	}
	return 1
}

// Keep forgets the routes for which known returns false.
func (c *Costs) Keep(known func(route string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for route := range c.byRoute {
		if !known(route) {
			delete(c.byRoute, route)
		}
	}
}
