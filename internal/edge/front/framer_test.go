package front

import (
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

func TestOversizeMessage(t *testing.T) {
	is := is.New(t)
	kernel := newFakeKernel(t, Spec{MaxMessageBytes: 100}, echo)
	raw := openRaw(t, kernel)
	raw.send(&pgproto3.Query{String: strings.Repeat("x", 20000)})
	is.Equal(raw.readUntilReady(t), "ERROR:54000:AW105 I")
	raw.send(&pgproto3.Parse{Query: strings.Repeat("x", 20000)}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{})
	is.Equal(raw.readUntilReady(t), "ERROR:54000:AW105 I")
	raw.send(&pgproto3.Bind{}, &pgproto3.Parse{Query: strings.Repeat("x", 20000)}, &pgproto3.Sync{})
	is.Equal(raw.readUntilReady(t), "ERROR:08P01:AW106 I") // one error for a failed sequence
	is.Equal(kernel.operations(), "")
	raw.send(&pgproto3.Query{String: "UPDATE x"})
	is.Equal(raw.readUntilReady(t), "UPDATE 1 I")
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
			raw := openRaw(t, newFakeKernel(t, Spec{}, echo))
			_, err := raw.conn.Write(test.send)
			is.NoErr(err)
			if test.send[0] == 'B' {
				raw.send(&pgproto3.Sync{})
			}
			is.Equal(raw.readUntilReady(t), test.want)
			if test.after != "" {
				raw.send(&pgproto3.Query{String: "UPDATE x"})
				is.Equal(raw.readUntilReady(t), test.after)
			}
		})
	}
}
