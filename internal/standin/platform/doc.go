// Package platform is a stand-in for the platform's object API, for tests. It has versions, watches, a VM list that lags, injected faults and a count of all calls.
package platform
