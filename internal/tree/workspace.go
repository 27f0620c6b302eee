package tree

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// KeyHash is the hash of a workspace's key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Workspace is a workspace compiled from its setting; it is immutable.
type Workspace struct {
	Name string
	Team string
	// Priority takes precedence over that of the route; nil means that it is not declared. Class is the class that corresponds to it.
	Priority *uint32
	Class    wirepb.Class
	// Rate is the quota in calls per second over all nodes, or 0 if the calls are not limited; Burst is how many may be made beyond it.
	Rate  float64
	Burst float64

	keys []KeyHash
}

func newWorkspace(path Path, setting *wirepb.WorkspaceSetting) *Workspace {
	w := &Workspace{
		Name: path.Name, Team: path.Team, Priority: setting.Priority, Rate: setting.GetRate(), Burst: float64(setting.GetBurst()),
		keys: keyHashes(setting),
	}
	if w.Priority != nil {
		w.Class = classOfPriority(*w.Priority)
	}
	return w
}

// keyHashes returns the hashes of a checked setting.
func keyHashes(setting *wirepb.WorkspaceSetting) []KeyHash {
	keys := make([]KeyHash, len(setting.GetKeySha256()))
	for i, text := range setting.GetKeySha256() {
		_, _ = hex.Decode(keys[i][:], []byte(text))
	}
	return keys
}

// WorkspaceByKey returns the workspace that a key identifies, or nil: a key that several workspaces have identifies none of them.
func (s *State) WorkspaceByKey(key KeyHash) *Workspace { return s.workspacesByKey[key] }

// indexWorkspaces builds the maps of all workspaces from the subtrees; it returns *ValueError for a name that two teams use.
func (s *State) indexWorkspaces() error {
	s.Workspaces, s.workspacesByKey = map[string]*Workspace{}, map[KeyHash]*Workspace{}
	for _, t := range s.subtrees {
		for pathText, w := range t.workspaces {
			if other, found := s.Workspaces[w.Name]; found {
				return nameConflict(pathText, w.Name, other.Team)
			}
			s.Workspaces[w.Name] = w
			for _, key := range w.keys {
				if other, found := s.workspacesByKey[key]; found && other != w {
					s.workspacesByKey[key] = nil
					continue
				}
				s.workspacesByKey[key] = w
			}
		}
	}
	return nil
}
