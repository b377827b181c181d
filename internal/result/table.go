package result

// Table lists every result code in ascending order.
var Table = []Info{
	{BadKey, "bad_key", "28P01", true, "The key does not match any key of the workspace.", "Check the key; ask the operators for a new one."},
	{UnknownWorkspace, "unknown_workspace", "28000", true, "The release note in force names no such workspace.", "Check the user name of the connection."},
	{KeyWithdrawn, "key_withdrawn", "28000", true, "The key was withdrawn while the session was connected.", "Ask the operators for a new key and reconnect."},
	{UnknownService, "unknown_service", "3D000", true, "The release note in force names no such service.", "Check the database name of the connection."},
	{NotAllowed, "not_allowed", "42501", true, "The workspace may not use this service, class or route.", "Ask the operators for access."},
	{TLSRequired, "tls_required", "28000", true, "The host accepts only TLS connections.", "Connect with sslmode=require or stricter."},
	{TooManyHandshakes, "too_many_handshakes", "53300", true, "The host is verifying as many keys as it may at once.", "Reconnect after a short wait."},
	{NoConfigLease, "no_config_lease", "57P03", true, "The host has no valid configuration lease, so it cannot know whether the key still holds.", "Retry, if possible through another host."},
	{NoPrimary, "no_primary", "57P03", true, "The service has no primary that may be written to within the deadline.", "Retry later; the status command names the reason."},
	{DeadlineInQueue, "deadline_in_queue", "57014", true, "The deadline passed before the request was sent to an endpoint, or no slot would have come free in time.", "Retry, or allow a longer deadline."},
	{RateExceeded, "rate_exceeded", "53400", true, "The workspace is over its rate and burst across the fleet.", "Wait for the time in the hint, then retry."},
	{QueueFull, "queue_full", "53300", true, "The queue of the workspace for this endpoint is full.", "Retry after a short wait."},
	{OutcomeUnknown, "outcome_unknown", "08007", false, "The request was sent but no answer may be passed on; it may or may not have run.", "Check before repeating, or repeat with the same request id."},
	{EndpointLost, "endpoint_lost", "08006", false, "The endpoint connection was lost inside a transaction, which the database rolls back unless a commit was already sent.", "Start the transaction again."},
	{ShuttingDown, "shutting_down", "57P01", true, "The host is shutting down and takes no new request.", "Reconnect; the balancer chooses another host."},
	{NoEndpoint, "no_endpoint", "57P03", true, "No endpoint can serve the request with the freshness it asks for.", "Retry, or allow a larger staleness."},
	{RetryBudgetSpent, "retry_budget_spent", "57P03", true, "The request was not run and the retry budget allows no further attempt.", "Retry after a short wait."},
	{ServiceLeaving, "service_leaving", "57P03", true, "The service is being taken out of use and gets no new work.", "Use another service; the operators decide about its return."},
	{EndpointBusy, "endpoint_busy", "53300", true, "The endpoint has no room for the statement and did not run it.", "Retry after a short wait."},
	{ReplicaBehind, "replica_behind", "57P03", true, "The endpoint lacks the position that the read must see and did not run it.", "Retry, or allow a larger staleness."},
	{EndpointReadOnly, "endpoint_read_only", "25006", true, "The endpoint is not the primary and did not run the statement.", "Retry; the group may be changing its primary."},
	{EndpointMismatch, "endpoint_mismatch", "08004", true, "Another endpoint answers at the address.", "Retry; the address has been reused."},
	{TooManyConnections, "too_many_connections", "53300", true, "The endpoint takes no further connection.", "Retry after a short wait."},
	{StatementFailed, "statement_failed", "XX000", false, "The endpoint ran the statement and it failed.", "Look at the endpoint's message."},
	{StatementTimeout, "statement_timeout", "57014", false, "The statement did not end within the route's timeout.", "Check before repeating a write."},
	{TransactionAborted, "transaction_aborted", "40000", true, "The transaction was rolled back; nothing of it is kept.", "Start the transaction again."},
	{HostFull, "host_full", "53200", true, "The host has no memory left for the statement and did not run it.", "Retry after a short wait; send smaller or fewer statements at once."},
	{TooManySessions, "too_many_sessions", "53300", true, "The host has no room for another session.", "Reconnect after a short wait; close sessions that are not used."},
	{MalformedMessage, "malformed_message", "08P01", true, "The message does not follow the protocol.", "Check the client library."},
	{MessageTooLarge, "message_too_large", "54000", true, "The message is larger than the host accepts.", "Split the statement or use COPY."},
	{UnknownClass, "unknown_class", "22023", true, "galenabridge.class names no known class.", "Use interactive, correction or bulk."},
	{BadDeadline, "bad_deadline", "22023", true, "galenabridge.deadline is not a positive duration in milliseconds.", "Correct the value."},
	{BadStaleness, "bad_staleness", "22023", true, "galenabridge.max_staleness is not a duration of zero or more milliseconds.", "Correct the value."},
	{RequestIDReused, "request_id_reused", "22023", true, "The request id was used before with another statement.", "Use a new request id for each request."},
	{UnsupportedFeature, "unsupported_feature", "0A000", true, "The feature cannot be served through a pooled connection.", "See the feature list in the README."},
	{RequestAlreadyDone, "request_already_done", "GB008", true, "A request with this id has already run; it was not run again.", "Treat the first run as done."},
	{SlowClient, "slow_client", "57014", false, "The client did not read its answer in time and the connection was closed.", "Read answers as they arrive."},
	{UnknownSessionParam, "unknown_session_parameter", "42704", true, "No session parameter of galenabridge has this name.", "Check the name."},
	{UnknownStatement, "unknown_statement", "26000", true, "The session has prepared no statement of this name.", "Prepare it first."},
	{SessionTooLarge, "session_too_large", "54000", true, "The session or its workspace keeps as many prepared statements and values as it may; this one was not kept.", "Remove prepared statements that are not used, or shorten values."},
	{AnswerTooLarge, "answer_too_large", "54000", false, "The host has no memory for the answer of the read.", "Read fewer rows at once, and read answers as they arrive."},
	{NoteConflict, "note_conflict", "40001", true, "Another release note with this number is in force.", "Look at the note in force, then use the next number."},
	{NoteInvalid, "note_invalid", "22023", true, "The release note has errors; nothing of it was applied.", "Correct every listed field."},
	{NoteOutOfOrder, "note_out_of_order", "55000", true, "The number of the release note is not the next one.", "Use the number named in the message."},
	{NoQuorum, "no_quorum", "57P03", false, "The control hosts could not confirm the change in time; it may still be accepted.", "Send the same note again: the answer tells whether it was accepted."},
	{DiskFull, "disk_full", "53100", true, "The control host cannot store the change.", "Free space on the data disk."},
	{NotLeader, "not_leader", "55000", true, "The control host is not the leader and knows no other.", "Send the note to another control host."},
	{TermConflict, "term_conflict", "40001", true, "The term, phase or candidate of the group is not the expected one.", "Look at the group's status and decide again."},
	{GroupConflict, "group_conflict", "55000", true, "The endpoint cannot join or leave the group.", "Check the endpoint's service, identity and the size of the group."},
	{StoreCorrupt, "store_corrupt", "XX001", true, "The data folder of the control host is damaged or incomplete.", "Move the folder away and restart; the host joins the group anew."},
	{StoreVersion, "store_version", "58000", true, "The data folder has a format that this program does not read.", "Run the version that wrote it, or start with an empty folder."},
	{StoreInUse, "store_in_use", "55006", true, "Another process holds the data folder.", "Stop the other process."},
	{OrderOvertaken, "order_overtaken", "55000", true, "A newer order about the same object was accepted after this one was sent.", "Send the order again if it still holds."},
	{PeerFleet, "peer_fleet", "08004", true, "The peer belongs to another fleet.", "Check the fleet name in the settings."},
	{PeerVersion, "peer_version", "08004", true, "The peer speaks another version of the protocol.", "Upgrade the older host."},
	{PeerIncarnation, "peer_incarnation", "08004", true, "The peer has been replaced by a newer process of the same host.", "Stop the old process."},
	{PeerMalformed, "peer_malformed", "08P01", true, "The peer sent a message that cannot be decoded.", "Check the versions of both hosts."},
	{PeerAuth, "peer_auth", "28000", true, "The peer does not hold the secret or certificate of the fleet.", "Check the fleet secret in the settings."},
}

var byCode = indexTable()

func indexTable() map[Code]Info {
	index := make(map[Code]Info, len(Table))
	for _, info := range Table {
		index[info.Code] = info
	}
	return index
}

// Lookup returns the description of code. An unknown code yields an Info with
// SQLSTATE XX000 (internal error).
func Lookup(code Code) Info {
	info, ok := byCode[code]
	if !ok {
		return Info{Code: code, Name: "internal_error", SQLState: "XX000"}
	}
	return info
}
