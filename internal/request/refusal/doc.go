// Package refusal names the errors that the proxy itself answers a request with.
package refusal
