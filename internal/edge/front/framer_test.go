package front

import (
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

func TestOversizeMessage(t *testing.T) {
	is := is.New(t)
	fakeKernel := newFakeKernel(t, Spec{MaxMessageBytes: 100}, echo)
	rawCaller := openRaw(t, fakeKernel)
	rawCaller.send(&pgproto3.Query{String: strings.Repeat("x", 20000)})
	is.Equal(rawCaller.readUntilReady(t), "ERROR:54000:AW105 I")
	rawCaller.send(&pgproto3.Parse{Query: strings.Repeat("x", 20000)}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{})
	is.Equal(rawCaller.readUntilReady(t), "ERROR:54000:AW105 I")
	rawCaller.send(&pgproto3.Bind{}, &pgproto3.Parse{Query: strings.Repeat("x", 20000)}, &pgproto3.Sync{})
	is.Equal(rawCaller.readUntilReady(t), "ERROR:08P01:AW106 I") // one error for the whole sequence
	is.Equal(fakeKernel.operations(), "")
	rawCaller.send(&pgproto3.Query{String: "UPDATE x"})
	is.Equal(rawCaller.readUntilReady(t), "UPDATE 1 I")
}

func TestInterruptedOversizeMessageIsSkipped(t *testing.T) {
	is := is.New(t)
	fakeKernel := newFakeKernel(t, Spec{MaxMessageBytes: 100}, echo)
	rawCaller := openRaw(t, fakeKernel)
	oversize, err := (&pgproto3.Query{String: strings.Repeat("x", 20000)}).Encode(nil)
	is.NoErr(err)
	rawCaller.send(&pgproto3.Parse{Query: "UPDATE x"}, &pgproto3.Bind{}, &pgproto3.Execute{})
	_, err = rawCaller.conn.Write(oversize[:12000])
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond) // the part is read
	fakeKernel.server.CloseAll()
	time.Sleep(20 * time.Millisecond) // the read is interrupted
	_, err = rawCaller.conn.Write(oversize[12000:])
	is.NoErr(err)
	is.Equal(rawCaller.readUntilReady(t), "UPDATE 1 ERROR:54000:AW105 I")
	is.Equal(rawCaller.readUntilReady(t), "FATAL:57P01:AW205")
}

func TestMalformedMessage(t *testing.T) {
	tests := []struct {
		name  string
		send  []byte
		want  string
		after string
	}{
		{"query without an end", []byte("Q\x00\x00\x00\x05x"), "ERROR:08P01:AW106 I", "UPDATE 1 I"},
		{"short bind", []byte("B\x00\x00\x00\x05x"), "ERROR:08P01:AW106 I", "UPDATE 1 I"},
		{"unknown type", []byte("?\x00\x00\x00\x04"), "FATAL:08P01:AW106", ""},
		{"negative length", []byte("Q\xff\xff\xff\xff"), "FATAL:08P01:AW106", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			rawCaller := openRaw(t, newFakeKernel(t, Spec{}, echo))
			_, err := rawCaller.conn.Write(test.send)
			is.NoErr(err)
			if test.send[0] == 'B' {
				rawCaller.send(&pgproto3.Sync{})
			}
			is.Equal(rawCaller.readUntilReady(t), test.want)
			if test.after != "" {
				rawCaller.send(&pgproto3.Query{String: "UPDATE x"})
				is.Equal(rawCaller.readUntilReady(t), test.after)
			}
		})
	}
}
