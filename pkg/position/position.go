package position

import "fmt"

// Term is the number of a primary in the succession of primaries of a group, from 1.
type Term uint64

// Position is a byte offset in a group's log, as a target reports it.
type Position uint64

// Point is a position in a group's log and the term of its primary. Points are ordered by term and then by position.
type Point struct {
	Term     Term     `json:"term"`
	Position Position `json:"position"`
}

// Before reports whether p is ordered before q.
func (p Point) Before(q Point) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Position < q.Position
}

// Reaches reports whether p is equal to q or ordered after it.
func (p Point) Reaches(q Point) bool { return !p.Before(q) }

// Max returns the later of p and q.
func Max(p, q Point) Point {
	if p.Before(q) {
		return q
	}
	return p
}

// String returns the point as term/position.
func (p Point) String() string { return fmt.Sprintf("%d/%d", p.Term, p.Position) }
