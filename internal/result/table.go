package result

import (
	"fmt"
	"slices"
	"strings"
)

// Info explains a code to operators.
type Info struct {
	Code    Code
	Name    string
	Meaning string
	Next    string // what to do next
}

var table = []Info{
	{OK, "OK", "The command was carried out.", "Nothing."},
	{SettingsInvalid, "SettingsInvalid", "A settings file has problems; nothing of it was applied.", "Correct the listed lines and run `settings check` again."},
	{ConfigInvalid, "ConfigInvalid", "A configuration document has problems; nothing of it was applied.", "Correct the listed lines and run `config check` again."},
	{RevisionConflict, "RevisionConflict", "Another edit was accepted first. The command did not run.", "Run `config show`, repeat the edit on the revision that it names, and apply again."},
	{AcknowledgeRequired, "AcknowledgeRequired", "The edit has an effect that needs an explicit acknowledgement. The command did not run.", "Read `config plan`. If the effect is intended, repeat with `--ack` and the effect's name."},
	{CommandExpired, "CommandExpired", "The result of a command with this identifier is no longer kept. This call did not run it.", "Look up its effect in `config history`."},
	{RevisionNotFound, "RevisionNotFound", "The history does not hold this revision.", "Run `config history` for the revisions that it holds."},
	{TargetNotFound, "TargetNotFound", "No target has this name.", "Run `targets`; look at the quarantined announcements too."},
	{ServiceNotFound, "ServiceNotFound", "No service has this name or address.", "Run `services`."},
	{TooManyTargets, "TooManyTargets", "A service selects more than 32 VMs.", "Split the service, or narrow its selector."},
	{NotInForceEverywhere, "NotInForceEverywhere", "The configuration was accepted, and some nodes do not have it in force yet.", "Run `status`; it names the nodes. They get it as soon as they reach a controller."},
	{ZoneNotFound, "ZoneNotFound", "The deployment has no availability zone of this name.", "Compare the name with the zones in the settings."},
	{RedundancyReduced, "RedundancyReduced", "Without this controller the others would bear fewer losses, or have no majority. It was not removed.", "Run `members` and `status`; add the replacement first, or remove the lost controller. `members remove --force` accepts fewer losses, but never the loss of the majority."},
	{NoFreeSlot, "NoFreeSlot", "Every target's slots are taken. The request did not run.", "Try again after the time in the refusal; add targets if it lasts."},
	{QueueFull, "QueueFull", "The expected wait in the shortest queue exceeds the service's bound. The request did not run.", "Try again after the time in the refusal; add targets if it lasts."},
	{QueueTimeout, "QueueTimeout", "No slot became free within the service's bound. The request did not run.", "Try again after the time in the refusal."},
	{TargetDraining, "TargetDraining", "Every target that was asked is leaving. The request did not run.", "Check `targets`; undrain a target or wait for new ones."},
	{NoTarget, "NoTarget", "The service has no target that may take new flows. The request did not run.", "Check `targets` and `services`."},
	{RetryBudgetSpent, "RetryBudgetSpent", "Targets failed to answer and the retry budget is spent. The request did not run.", "Look at the health of the service's targets."},
	{HandshakeFailed, "HandshakeFailed", "The target did not complete the handshake and no other is left. The request did not run.", "Look at the target's process."},
	{AdmissionSuspended, "AdmissionSuspended", "The target takes no new flows after repeated handshake failures. The request did not run.", "Look at the target's process; admission resumes by itself."},
	{TargetJoining, "TargetJoining", "The service's only targets are new and not known to every node yet. The request did not run.", "Try again after the time in the refusal, at most 4 s."},
	{FlowUnknown, "FlowUnknown", "No target has the flow that the packet belongs to: its target was restarted or is gone. An open flow is reset at its caller.", "Look for the target's restart at that time; callers open a new flow."},
	{TargetReplaced, "TargetReplaced", "The relay of the flow started again and found its target gone. The flow, which an earlier process of the relay had reported to the controllers, is reset at its caller before the next request.", "Look for the loss of power or restart of the VM at that time; callers open a new flow."},
	{ZoneEvacuated, "ZoneEvacuated", "The availability zone of the target is evacuated, so it takes no new flows. The request did not run there.", "Nothing; other zones get the flow. Restore the zone when it may be used again."},
	{TargetCold, "TargetCold", "The target is cold after its start and has got as many new flows in the last second as it bears. The request did not run there.", "Nothing; other targets get the flow, and this one more of them as soon as it is warm."},
	{NotLeader, "NotLeader", "The controller is not the leader and knows no other.", "Try again in a few seconds, or name another controller."},
	{NoQuorum, "NoQuorum", "The controller has no contact to a majority. The command did not run.", "Run `members`; restore members or the network between them."},
	{Overloaded, "Overloaded", "A bounded queue is full. The command did not run.", "Try again after the time in the answer."},
	{DeadlineExceeded, "DeadlineExceeded", "No answer arrived in time. It is unknown whether the command ran.", "Repeat the command with the same identifier; it runs at most once."},
	{PeerUnknown, "PeerUnknown", "The peer may not make this call, or is not the one that is addressed.", "TLS: check the certificate's URI and the CA file. Controllers: see `A store without a leader` in OPERATIONS.md; a VM that lost its disk runs another member."},
	{StaleGeneration, "StaleGeneration", "The controller offered a state older than the node's.", "Nothing; the node asks another controller."},
	{MemberChangeBusy, "MemberChangeBusy", "Another change of members is not finished. The command did not run.", "Run `members` and repeat when it has finished."},
	{OutcomeUnknown, "OutcomeUnknown", "The connection or the leader was lost before the outcome was known.", "Repeat the command with the same identifier; it runs at most once."},
	{UpgradePending, "UpgradePending", "A member of the replicated log runs an earlier build, or has not reported its build yet, so the command did not run.", "Replace the named controllers, then repeat the command."},
	{StorageCorrupt, "StorageCorrupt", "A file in the data folder is damaged; the message names file and offset.", "Replace the member as docs/OPERATIONS.md describes. Do not edit the file."},
	{StorageFull, "StorageFull", "The disk is full. Nothing was written.", "Free space; the member catches up by itself."},
	{StorageFailed, "StorageFailed", "Writing or syncing failed; the member writes no more.", "Check the disk and restart the member, or replace it."},
	{BuildTooOld, "BuildTooOld", "The replicated log holds entries of a later protocol level than that of this build; the process ends.", "Start a build of that level or a later one."},
	{PacketInvalid, "PacketInvalid", "A packet could not be decoded.", "Look at the drop counters by reason."},
	{Internal, "Internal", "A fault of the program.", "Report it with the log lines around it."},
}

// Table returns the explanations of all codes, ordered by code.
func Table() []Info {
	return slices.Clone(table)
}

// Lookup returns the explanation of a code.
func Lookup(code Code) (Info, bool) {
	for _, info := range table {
		if info.Code == code {
			return info, true
		}
	}
	return Info{}, false
}

// LookupText returns the explanation of a code given as "GGL-2001" or as its name, in upper or lower case.
func LookupText(text string) (Info, bool) {
	for _, info := range table {
		if strings.EqualFold(info.Code.String(), text) || strings.EqualFold(info.Name, text) {
			return info, true
		}
	}
	return Info{}, false
}

// String returns the code as operators see it, such as "GGL-2001".
func (c Code) String() string {
	return fmt.Sprintf("GGL-%04d", uint16(c))
}

// Markdown returns the table of docs/errors.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| code | name | meaning | what to do next |\n| --- | --- | --- | --- |\n")
	for _, info := range table {
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", info.Code, info.Name, info.Meaning, info.Next)
	}
	return b.String()
}
