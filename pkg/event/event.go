// Package event defines the numbered log events and writes them to the log.
// Operators search the logs by number; docs/log-events.md describes each event.
package event

import (
	"github.com/sirupsen/logrus"
)

// ID is the number of a log event. Numbers are never reused.
type ID int

// Log events. The first digit is the area: 1 process, 2 membership,
// 3 configuration, 4 requests and upstreams, 5 orders, 9 faults of the program
// itself.
const (
	ProcessStarted   ID = 100
	ProcessReady     ID = 101
	ShutdownStarted  ID = 102
	ShutdownFinished ID = 103
	PauseDetected    ID = 104
	ListenerFailed   ID = 105
	SettingsChanged  ID = 106
	SettingsInvalid  ID = 107

	MemberJoined     ID = 200
	MemberSuspect    ID = 201
	MemberDead       ID = 202
	MemberLeaving    ID = 203
	InstanceListFail ID = 204
	MessageInvalid   ID = 205
	MembersCompared  ID = 206

	DocumentAdopted  ID = 300
	DocumentInvalid  ID = 301
	DocumentConflict ID = 302
	PlatformFailed   ID = 304
	PlatformRestored ID = 305
	ReaderRoleGained ID = 306
	ReaderRoleLost   ID = 307
	DocumentOlder    ID = 308
	EntryInvalid     ID = 309
	HistoryGone      ID = 310
	FirstReadSlow    ID = 311
	OutageEnded      ID = 312
	StoreEraChanged  ID = 315

	UpstreamEjected     ID = 400
	UpstreamRestored    ID = 401
	UpstreamDraining    ID = 402
	AnswerDropped       ID = 403
	RequestSuspect      ID = 404
	RequestQuarantined  ID = 405
	UpstreamListed      ID = 406
	UpstreamGone        ID = 407
	RequestFinished     ID = 408
	UpstreamsLoaded     ID = 409
	CrashNotConfirmed   ID = 410
	CrashRecordReceived ID = 411
	RateLimitChanged    ID = 412
	RemovalChecked      ID = 413
	RequestCleared      ID = 414
	CrashExcused        ID = 415
	SuspectTried        ID = 416
	AdmissionChanged    ID = 417
	EvacuationStarted   ID = 420
	EvacuationEnded     ID = 421
	BodyMemoryShort     ID = 422
	BodyMemoryRestored  ID = 423
	ColdLimitsChanged   ID = 424
	EntryHeld           ID = 425

	TicketLimitReached ID = 500
	OrderUnknown       ID = 501

	InvariantBroken ID = 900
	InternalError   ID = 901
)

// Fields are the structured values of a log line.
type Fields = logrus.Fields

// Info logs an event at info level.
func Info(log logrus.FieldLogger, id ID, fields Fields, msg string) {
	eventLogger(log, id, fields).Info(msg)
}

// Warn logs an event at warning level.
func Warn(log logrus.FieldLogger, id ID, fields Fields, msg string) {
	eventLogger(log, id, fields).Warn(msg)
}

// Error logs an event at error level.
func Error(log logrus.FieldLogger, id ID, fields Fields, msg string) {
	eventLogger(log, id, fields).Error(msg)
}

// eventLogger returns a logger that adds the fields and the event's number to each
// line.
func eventLogger(log logrus.FieldLogger, id ID, fields Fields) logrus.FieldLogger {
	return log.WithFields(fields).WithField("event", int(id))
}
