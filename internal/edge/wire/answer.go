package wire

import "github.com/jackc/pgx/v5/pgproto3"

// AnswerSpec lists the fields of a new Answer.
type AnswerSpec struct {
	Results  []Result
	Notices  []*pgproto3.NoticeResponse
	Size     int
	Overflow bool
}

// Answer is the complete answer to a Statement. It is immutable.
type Answer struct {
	spec AnswerSpec
}

// NewAnswer returns the Answer that spec describes. Size is the size of the rows
// in bytes. Overflow is set if the Statement ran but its rows were dropped because
// they exceeded the size limit.
func NewAnswer(spec AnswerSpec) *Answer { return &Answer{spec: spec} }

// Size implements model.Payload.
func (answer *Answer) Size() int { return answer.spec.Size }

// Results returns the results in order.
func (answer *Answer) Results() []Result { return answer.spec.Results }

// Notices returns the notices that the database sent with the answer.
func (answer *Answer) Notices() []*pgproto3.NoticeResponse { return answer.spec.Notices }

// Overflow reports whether the rows were dropped because they exceeded the size limit.
func (answer *Answer) Overflow() bool { return answer.spec.Overflow }
