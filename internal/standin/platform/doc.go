// Package platform is a stand-in for the platform's object API, with versions, watches, a VM list that lags, faults and a count of every call.
package platform
