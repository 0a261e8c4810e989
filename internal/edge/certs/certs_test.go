package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// writeKeyPair writes a self-signed certificate with the given serial number, and its key.
func writeKeyPair(t *testing.T, certFile, keyFile string, serial int64, modified time.Time) {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour)}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	is.NoErr(err)
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	is.NoErr(os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}), 0o600))
	is.NoErr(os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encodedKey}), 0o600))
	is.NoErr(os.Chtimes(certFile, modified, modified))
	is.NoErr(os.Chtimes(keyFile, modified, modified))
}

func TestReload(t *testing.T) {
	is := is.New(t)
	certFile, keyFile := filepath.Join(t.TempDir(), "cert"), filepath.Join(t.TempDir(), "key")
	start := time.Now()
	writeKeyPair(t, certFile, keyFile, 1, start)
	var reloadErrors []error
	reloader, err := New(certFile, keyFile, func(err error) { reloadErrors = append(reloadErrors, err) })
	is.NoErr(err)
	serial := func(now time.Time) int64 {
		parsed, err := x509.ParseCertificate(reloader.certificate(now).Certificate[0])
		is.NoErr(err)
		return parsed.SerialNumber.Int64()
	}
	is.Equal(serial(start), int64(1))
	writeKeyPair(t, certFile, keyFile, 2, start.Add(time.Minute))
	is.Equal(serial(start.Add(checkInterval/2)), int64(1)) // the files are not checked yet
	is.Equal(serial(start.Add(2*checkInterval)), int64(2))
	is.NoErr(os.WriteFile(keyFile, []byte("no key"), 0o600))
	is.Equal(serial(start.Add(4*checkInterval)), int64(2)) // the last valid certificate stays in use
	is.True(len(reloadErrors) > 0)
	_, err = New(certFile, keyFile, func(error) {})
	is.True(err != nil)
}
