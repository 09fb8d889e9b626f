package controller

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/userapi"
)

// Data loss scenarios of TestDataLossWhileControllersRun that take more than one line.

// rentAndReturnLate: requests to the cloud from before the loss are executed after it. A machine disappears that the
// controllers remember, and one appears that no controller rented in this epoch.
func (l *dataLoss) rentAndReturnLate() {
	l.state.LoseAll()
	post := func(path, body string) string {
		resp, err := l.httpc.Post("http://"+l.cloud.Addr()+path, "application/json", strings.NewReader(body))
		if err != nil {
			l.t.Error(err)
			return ""
		}
		defer resp.Body.Close()
		answer, _ := io.ReadAll(resp.Body)
		return string(answer)
	}
	post("/hosts/return", `{"estaciones":["n-000001"]}`)
	if got := post("/hosts", `{"pedido":"late-1","modelo":"m8","zona":"east","prestadas":false,"how_many":1}`); !strings.Contains(got, "n-0") {
		l.t.Errorf("no machine was rented late: %s", got)
	}
}

// loseDuringACancellation: the store is reset to an earlier state while a user repeats a cancellation until it is
// answered.
func (l *dataLoss) loseDuringACancellation() {
	extra := arrayJob(391, 10, "red")
	l.submit(extra)
	answered := make(chan struct{})
	go func() { // repeats the request until it is answered, during the loss
		defer close(answered)
		l.checker.RecordCancellation(extra.UID)
		for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
			s := l.nodeSettings[time.Now().UnixNano()%3]
			resp, err := l.httpc.Post("http://"+s.Listen+protocol.PathSubmit+"/"+extra.UID+"/withdraw", "application/json", strings.NewReader("{}"))
			if err != nil {
				continue
			}
			var st protocol.Status
			_ = json.NewDecoder(resp.Body).Decode(&st)
			resp.Body.Close()
			l.checker.RecordAnswer(extra.UID, resp.StatusCode, st.State, false)
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
	}()
	time.Sleep(10 * time.Millisecond)
	l.state.RollBack(l.saved)
	<-answered
}

// endInTheStoreThatWentBack: an end is written to a store that was reset to an earlier state before any controller
// noticed, because its conditions happen to hold. A controller that finds the end there sends it to its peers. After
// that, no controller may answer that the job is active, since the watch never delivers the end to those that remember
// the job.
func (l *dataLoss) endInTheStoreThatWentBack() {
	extra := arrayJob(392, 10, "red")
	l.submit(extra)
	l.checker.RecordCancellation(extra.UID)
	l.state.RollBack(l.saved)
	l.state.Put(userapi.EndedJobPrefix+extra.UID, string(protocol.Encode(userapi.JobEnd{State: protocol.Cancelled, Tasks: 10, Team: "red"})))
	cancelled := 0 // answers; the controllers are polled in turn until all return the end
	l.waitUntil("all return the end", func() bool {
		for _, s := range l.nodeSettings {
			resp, err := l.httpc.Get("http://" + s.Listen + protocol.PathSubmit + "/" + extra.UID)
			if err != nil {
				continue
			}
			var st protocol.Status
			_ = json.NewDecoder(resp.Body).Decode(&st) // the HTTP status is checked too
			resp.Body.Close()
			l.checker.RecordAnswer(extra.UID, resp.StatusCode, st.State, false)
			if st.State == protocol.Cancelled {
				cancelled++
			}
		}
		return cancelled > 30
	})
}

// restartDuringRecovery: a controller restarts while retained state is exchanged and written back.
func (l *dataLoss) restartDuringRecovery() {
	l.state.LoseAll()
	l.waitUntil("an epoch begins", func() bool { all := l.overviews(); return len(all) > 0 && all[0].Store.Epoch > 1 })
	l.crash(2) // while its retained state is gathered and written back
	l.start(2)
}

// loseWhileAMachineIsCut: a machine stays unreachable until long after the loss.
func (l *dataLoss) loseWhileAMachineIsCut() {
	w := l.cloud.Agents()[0]
	w.DisconnectNetwork(true)
	l.state.LoseAll()
	time.Sleep(5 * time.Second)
	w.DisconnectNetwork(false)
}

// loseInAnOutage: the store loses its data during an outage.
func (l *dataLoss) loseInAnOutage() {
	l.state.SetOutage(true)
	time.Sleep(time.Second)
	l.state.LoseAll()
	l.state.SetOutage(false)
}
