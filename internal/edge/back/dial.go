package back

import (
	"context"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/wire"
)

const sqlStateCannotConnectNow = "57P03"

// dial connects to address and hijacks the connection from pgconn, so that all
// messages of a step can be sent in one write.
func dial(ctx context.Context, base *pgconn.Config, address string) (*pgconn.HijackedConn, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrapf(err, "split address %q", address)
	}
	number, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, errors.Wrapf(err, "parse port of address %q", address)
	}
	config := base.Copy()
	config.Host = host
	config.Port = uint16(number)
	opened, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	hijacked, err := opened.Hijack()
	return hijacked, errors.Wrapf(err, "hijack connection to %s", address)
}

// connFailure classifies an error from opening or using a connection.
func connFailure(err error) model.ConnFailure {
	var pgError *pgconn.PgError
	var netError net.Error
	switch {
	case errors.As(err, &pgError):
		return sqlStateConnFailure(pgError.Code)
	case errors.Is(err, syscall.ECONNREFUSED):
		return model.ConnFailureRefused
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &netError) && netError.Timeout():
		return model.ConnFailureTimeout
	default:
		return model.ConnFailureReset
	}
}

func sqlStateConnFailure(state string) model.ConnFailure {
	switch state {
	case wire.SQLStateTooManyConnections:
		return model.ConnFailureFull
	case wire.SQLStateAdminShutdown, sqlStateCannotConnectNow:
		return model.ConnFailureLeaving
	default:
		return model.ConnFailureReset
	}
}

// sendCancel sends a cancel request for the statement that runs on a connection
// and waits until the instance closes the cancel connection, which it does after
// it has processed the request.
func sendCancel(hijacked *pgconn.HijackedConn, timeout time.Duration) error {
	address := hijacked.Conn.RemoteAddr()
	canceling, err := net.DialTimeout(address.Network(), address.String(), timeout)
	if err != nil {
		return errors.Wrapf(err, "connect to %s to cancel", address)
	}
	defer func() { _ = canceling.Close() }()
	if err := canceling.SetDeadline(time.Now().Add(timeout)); err != nil {
		return errors.Wrap(err, "set deadline of cancel request")
	}
	message, err := cancelMessage(hijacked)
	if err != nil {
		return err
	}
	if _, err := canceling.Write(message); err != nil {
		return errors.Wrapf(err, "send cancel request to %s", address)
	}
	_, _ = canceling.Read(make([]byte, 1))
	return nil
}
