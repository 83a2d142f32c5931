// Package quota exchanges tokens for operations of workspaces between daemons. The decisions are in internal/request/quota.
package quota
