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

// Ways in which data are lost that take more than a line.

// rentAndReturnLate: requests to the cloud from before the loss are carried out after it: a machine goes that
// the controllers remember, and one comes that nobody rented in this epoch.
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
		l.t.Errorf("no machine came late: %s", got)
	}
}

// loseDuringACancellation: the store goes back while a user repeats a cancellation until it is answered.
func (l *dataLoss) loseDuringACancellation() {
	extra := arrayJob(391, 10, "red")
	l.submit(extra)
	told := make(chan struct{})
	go func() { // its user repeats it until it gets an answer, as the loss comes
		defer close(told)
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
	<-told
}

// endInTheStoreThatWentBack: an end goes to the store that went back before anybody noticed, under guards that
// hold by accident. Whoever finds it there tells it; nobody may call the job active
// after that, from a memory that it never reaches by the watch.
func (l *dataLoss) endInTheStoreThatWentBack() {
	extra := arrayJob(392, 10, "red")
	l.submit(extra)
	l.checker.RecordCancellation(extra.UID)
	l.state.RollBack(l.saved)
	l.state.Put(userapi.EndedJobPrefix+extra.UID, string(protocol.Encode(userapi.JobEnd{State: protocol.Cancelled, Tasks: 10, Team: "red"})))
	told := 0 // each controller is asked, one after the other, until all tell the end
	l.waitUntil("all tell the end", func() bool {
		for _, s := range l.nodeSettings {
			resp, err := l.httpc.Get("http://" + s.Listen + protocol.PathSubmit + "/" + extra.UID)
			if err != nil {
				continue
			}
			var st protocol.Status
			_ = json.NewDecoder(resp.Body).Decode(&st) // the status says the most of it
			resp.Body.Close()
			l.checker.RecordAnswer(extra.UID, resp.StatusCode, st.State, false)
			if st.State == protocol.Cancelled {
				told++
			}
		}
		return told > 30
	})
}

// restartDuringRecovery: a controller restarts while memories are exchanged and written back.
func (l *dataLoss) restartDuringRecovery() {
	l.state.LoseAll()
	l.waitUntil("an epoch begins", func() bool { all := l.overviews(); return len(all) > 0 && all[0].Store.Epoch > 1 })
	l.crash(2) // while what it remembers is gathered and written back
	l.start(2)
}

// loseWhileAMachineIsCut: a machine is not reached until long after the loss.
func (l *dataLoss) loseWhileAMachineIsCut() {
	w := l.cloud.Agents()[0]
	w.DisconnectNetwork(true)
	l.state.LoseAll()
	time.Sleep(5 * time.Second)
	w.DisconnectNetwork(false)
}

// loseInAnOutage: the store answers nobody as it loses data.
func (l *dataLoss) loseInAnOutage() {
	l.state.SetOutage(true)
	time.Sleep(time.Second)
	l.state.LoseAll()
	l.state.SetOutage(false)
}
