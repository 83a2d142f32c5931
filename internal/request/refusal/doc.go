// Package refusal defines the errors with which the proxy itself answers a request.
package refusal
