package contact_test

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster/contact"
)

func TestOnlyNewerMessagesOfALiveEpochAreApplied(t *testing.T) {
	const renewedAt, now = 50, 100
	for _, tt := range []struct {
		name            string
		epoch, sequence uint64
		source          contact.Source
		want            contact.Outcome
		renewed         bool // the agent may accept the response, so its lease may run from now
	}{
		{"next message in the epoch", 4, 8, contact.FromHeartbeat, contact.Applied, false},
		{"next epoch", 5, 1, contact.FromHeartbeat, contact.Applied, false},
		{"duplicate of the newest heartbeat", 4, 7, contact.FromHeartbeat, contact.Stale, true},
		{"newest message again in a dispatch response", 4, 7, contact.FromDispatchResponse, contact.Stale, false},
		{"duplicate from an earlier epoch", 3, 9, contact.FromHeartbeat, contact.Stale, false},
		{"expired epoch", 2, 9, contact.FromHeartbeat, contact.Refused, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			agent := contact.Contact{AgentEpoch: 4, Sequence: 7, ExpiredEpoch: 2, LeaseRenewedAt: renewedAt}
			if got := agent.CheckFreshness(tt.epoch, tt.sequence, tt.source, now); got != tt.want {
				t.Errorf("outcome %d, want %d", got, tt.want)
			}
			if renewed := agent.LeaseRenewedAt == now; renewed != tt.renewed {
				t.Errorf("lease renewed: %v, want %v", renewed, tt.renewed)
			}
		})
	}
}

func TestResponsesCountAsLostAfterThreeConsecutiveMisses(t *testing.T) {
	var agent contact.Contact
	if agent.TrackResponse(0); agent.MissedResponses != 0 {
		t.Fatal("a response counts as missed although none was sent")
	}
	agent.SetLastResponse(9)
	for i := 1; i <= 3; i++ {
		if agent.TrackResponse(8) || agent.ResponsesLikelyLost() != (i == 3) {
			t.Fatalf("after %d missed responses: ResponsesLikelyLost() = %v", i, agent.ResponsesLikelyLost())
		}
	}
	if !agent.TrackResponse(9) || agent.ResponsesLikelyLost() {
		t.Fatal("responses count as lost although the last one was received")
	}
}
