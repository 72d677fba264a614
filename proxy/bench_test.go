package proxy

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"rosemaryline.dev/standin"
)

// designServers is the number of backend servers on one VM for which the fleet is designed.
const designServers = 95

// BenchmarkRequest measures a request to a stand-in directly, through the entry and the gate of one process, and
// through the entry of one process and the gate of another. The requests through the fleet are measured with and
// without log lines.
func BenchmarkRequest(b *testing.B) {
	s, err := standin.Start(standin.Options{Name: "b", Service: "svc", Listen: "127.0.0.1:0", Slots: 64})
	assert.NilError(b, err)
	defer s.Stop()
	v := newFleetView(b, 64)
	b.Run("direct", func(b *testing.B) { benchmarkGet(b, "http://"+s.Address()+"/a") })
	for desc, logger := range map[string]*log.Logger{"no log": discardLogger(), "log": {Level: log.InfoLevel, Writer: log.IOWriter{Writer: io.Discard}}} {
		setLog := func(o *EntryOptions) { o.Log = logger }
		local := newVM(b, "vm1", v, directory{newPeer("vm1", "")}, setLog)
		remote := newVM(b, "vm2", v, nil, setLog)
		for _, m := range []*testVM{local, remote} {
			m.gate.opts.Log = logger
			m.announce(b, "b", s.Address(), "1")
		}
		entry := newVM(b, "vm3", v, directory{newPeer("vm2", addressOf(remote.peer))}, setLog)
		b.Run("one process, "+desc, func(b *testing.B) { benchmarkGet(b, local.caller.URL+"/a") })
		b.Run("both hops, "+desc, func(b *testing.B) { benchmarkGet(b, entry.caller.URL+"/a") })
		for i := range designServers - 1 {
			local.announce(b, fmt.Sprintf("b%d", i), s.Address(), "1")
		}
		b.Run("one process with 95 backend servers, "+desc, func(b *testing.B) { benchmarkGet(b, local.caller.URL+"/a") })
	}
}

func benchmarkGet(b *testing.B, url string) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	req, err := http.NewRequest("GET", url, nil)
	assert.NilError(b, err)
	req.Header.Set("Authorization", "Bearer red-key")
	b.ReportAllocs()
	for b.Loop() {
		resp, err := client.Do(req)
		assert.NilError(b, err)
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode != 200 {
			b.Fatal(resp.Status)
		}
	}
}
