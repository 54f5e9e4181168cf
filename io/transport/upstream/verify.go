package upstream

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// verifyTimeout bounds the wait for an engine's report; it needs no slot.
const verifyTimeout = 250 * time.Millisecond

// Verification says how it is known which incarnation of an engine received a request.
type Verification string

// The kinds of verification.
const (
	Unverified         Verification = ""           // by the engine's ID at most
	VerifiedByReport   Verification = "report"     // the engine reported its start time on the connection, just before
	VerifiedConnection Verification = "connection" // it did so when the connection carried an earlier request
)

// ErrUnverified is the cause of an error of Pool.Send where the engine, which may be sound, does not report its start time.
const ErrUnverified = errors.ConstError("the engine's report states no start time, or ends the connection")

// connectVerified returns a connection for a request to the incarnation that started at the time which the request names. A connection ends with the incarnation
// that accepted it, so what the engine has reported on it holds for all requests that it carries.
func (pool *Pool) connectVerified(ctx context.Context, request Request) (found *connection, verified Verification, err error) {
	if found, err = pool.connect(ctx, request.Address, request.Attempt.RequestID); err != nil || !request.GoesOn || request.StartUnixMilli == 0 {
		return found, Unverified, err
	}
	verified = VerifiedConnection
	if found.incarnation == 0 {
		verified = VerifiedByReport
		idle := !found.idleSince.IsZero()
		if err = pool.readIncarnation(ctx, found, request.Attempt.Engine); err != nil && idle { // the engine may have closed it
			_ = found.Close()
			if found, err = pool.dial(ctx, request.Address); err != nil {
				return nil, Unverified, err
			}
			err = pool.readIncarnation(ctx, found, request.Attempt.Engine)
		}
		if err != nil {
			_ = found.Close()
			return nil, Unverified, err
		}
	}
	if found.incarnation != request.StartUnixMilli {
		_ = found.Close()
		return nil, Unverified, errors.WithType(errors.Errorf("the engine reports the start time %d, not %d", found.incarnation, request.StartUnixMilli), ErrRestarted)
	}
	return found, verified, nil
}

// readIncarnation has the engine report its start time on a connection.
func (pool *Pool) readIncarnation(ctx context.Context, connection *connection, engine string) (err error) {
	defer func() { err = errors.Annotate(err, "reading the engine's start time") }()
	stop := context.AfterFunc(ctx, connection.reset)
	defer stop()
	answer, err := pool.ask(connection, engine, verifyTimeout)
	switch {
	case err != nil:
		return err
	case answer.closing || answer.report.StartUnixMilli == 0:
		return ErrUnverified
	}
	connection.incarnation = answer.report.StartUnixMilli
	return nil
}
