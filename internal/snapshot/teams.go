package snapshot

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"topazhollow/internal/kvstore"
	"topazhollow/internal/protocol"
	"topazhollow/internal/teamconfig"
	"topazhollow/internal/teamstore"
)

// missingTeams returns the updates that restore the team configuration entries of a copy that the service lacks or has
// in an earlier version.
func missingTeams(old, current map[string]Entry) (updates []kvstore.Update, err error) {
	for _, key := range slices.Sorted(maps.Keys(old)) {
		if !strings.HasPrefix(key, teamstore.Prefix) {
			continue
		}
		var saved, present teamconfig.Entry
		if err := json.Unmarshal(old[key].Value, &saved); err != nil {
			return nil, fmt.Errorf("snapshot: key %s: %w", key, err)
		}
		if there, ok := current[key]; ok {
			if err := json.Unmarshal(there.Value, &present); err != nil {
				return nil, fmt.Errorf("snapshot: key %s: %w", key, err)
			}
		}
		if present.Number < saved.Number {
			updates = append(updates, kvstore.Update{Conditions: []protocol.Condition{{Key: key, Version: current[key].Version}},
				Changes: []protocol.Op{{Set: key, Value: old[key].Value}}})
		}
	}
	return updates, nil
}
