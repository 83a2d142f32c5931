package target

// The statements of the control protocol in PostgreSQL's dialect. Support for another database system needs its own set of these constants.
const (
	// StatusQuery returns one row of text values: promised term, its holder, is-primary (t or f), followed primary, received term, received position, applied term, applied position.
	StatusQuery = `SELECT coalesce(current_setting('cactusfork.term', true), '0'), ` +
		`coalesce(current_setting('cactusfork.holder', true), ''), ` +
		`NOT pg_is_in_recovery(), ` +
		`coalesce((SELECT substring(conninfo FROM 'application_name=(\S+)') FROM pg_stat_wal_receiver WHERE status = 'streaming'), ''), ` +
		`greatest((pg_control_recovery()).min_recovery_end_timeline, (pg_control_checkpoint()).timeline_id), ` +
		`coalesce(pg_last_wal_receive_lsn(), pg_current_wal_flush_lsn()) - '0/0', ` +
		`(pg_control_checkpoint()).timeline_id, ` +
		`coalesce(pg_last_wal_replay_lsn(), pg_current_wal_flush_lsn()) - '0/0'`

	// PositionQuery returns one row of text values: is-primary (t or f), applied term, applied position. When it follows a statement on the same connection, the position includes that statement.
	PositionQuery = `SELECT NOT pg_is_in_recovery(), (pg_control_checkpoint()).timeline_id, ` +
		`coalesce(pg_last_wal_replay_lsn(), pg_current_wal_flush_lsn()) - '0/0'`

	// LockQuery tries to take the advisory lock that serialises orders to the target; it returns one row, t or f.
	LockQuery = `SELECT pg_try_advisory_lock(72330017)`
	// UnlockQuery releases the lock; the target also releases it when the session ends.
	UnlockQuery = `SELECT pg_advisory_unlock(72330017)`
	// SetLockTimeout bounds how long a stalled daemon keeps the lock: the target terminates a session that is idle for longer.
	SetLockTimeout = `SET idle_session_timeout = '500ms'`

	// SetTerm is a format string for the promised term, in decimal.
	SetTerm = `ALTER SYSTEM SET cactusfork.term = '%d'`
	// SetHolder is a format string for the name of the daemon that holds the promise.
	SetHolder = `ALTER SYSTEM SET cactusfork.holder = '%s'`
	// StopFollowing ends streaming from the primary once Reload has run.
	StopFollowing = `ALTER SYSTEM SET primary_conninfo = ''`
	// FollowPrimary is a format string for the primary's host, port and target ID.
	FollowPrimary = `ALTER SYSTEM SET primary_conninfo = 'host=%s port=%d application_name=%s'`
	// Reload makes the target apply the changed settings.
	Reload = `SELECT pg_reload_conf()`
	// Promotion promotes the target to primary of the term that was set. It waits for completion, so that no fence can take the lock while the promotion is in progress.
	Promotion = `SELECT pg_promote(true)`
)
