package rowanplank.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import rowanplank.membership.MemberUpdate.State;

/**
 * Failure detection and membership by SWIM (Das, Gupta and Motivala, 2002) with the Lifeguard extensions (Dadgar,
 * Phillips and Currey, 2017). Its view of which members are alive is only a hint; no safety property depends on it.
 *
 * <p>In each period one member is probed, in a shuffled round-robin order. If it does not answer, {@value
 * #INDIRECT_PROBES} other members are asked to probe it; if that fails too it is suspected, and it is considered
 * failed unless the suspicion is refuted in time, by itself or by others. A node that misses answers itself, or finds
 * itself suspected, probes more slowly and so suspects others later. Updates are piggybacked on all messages. From
 * time to time a node fetches the complete member list of another one, page by page, and pings members that are
 * missing, so that a partitioned group merges again.
 *
 * <p>Limits: {@value #MAX_MEMBERS} members, {@value #MAX_UPDATE_BYTES} bytes of updates per message, {@value
 * #MAX_RELAYED_PINGS} pings in progress on behalf of others. A message costs O(members).
 */
public class Membership {
    /** The limit of known members; further ones are ignored. */
    public static final int MAX_MEMBERS = 1000;
    /** The limit in bytes of the updates in one message. */
    public static final int MAX_UPDATE_BYTES = 900;
    private static final int MAX_RELAYED_PINGS = 64;
    private static final int INDIRECT_PROBES = 3;
    private static final int MAX_HEALTH_PENALTY = 4;
    /** An update is retransmitted this many times the binary logarithm of the number of members. */
    private static final int RETRANSMIT_FACTOR = 3;
    /**
     * The suspicion timeout in periods if enough other members confirm the suspicion; it grows with the decimal
     * logarithm of the number of members.
     */
    private static final int SUSPICION_PERIODS = 4;
    /** The factor by which the suspicion timeout is longer if no other member confirms the suspicion. */
    private static final int UNCONFIRMED_FACTOR = 4;
    private static final int CONFIRMATIONS = 2;
    private static final int LIST_SYNC_PERIODS = 16;
    private static final int FORGET_PERIODS = 300;

    /**
     * The configuration of a node.
     *
     * @param self the name of this node
     * @param address the address of this node as it announces it
     * @param incarnation a number above that of any earlier process of this name
     * @param knownAddresses members to contact first, by name, with addresses that take precedence over announced ones
     * @param probePeriod how often a member is probed
     * @param seed of the probe order and the choice of helpers
     */
    public record Settings(String self, String address, long incarnation, Map<String, String> knownAddresses,
            Duration probePeriod, long seed) {
        public Settings {
            knownAddresses = new TreeMap<>(knownAddresses);
        }
    }

    /** Callbacks to the owner. Implementations must not call back into the protocol. */
    public interface Actions {
        /** Sends a message to an address; it may get lost. */
        void send(String address, GossipMessage message);

        /** The state of a member, or whether it serves clients, has changed. */
        void memberChanged(MemberUpdate update);

        /** Another process, at this address, uses the name of this node. */
        void duplicateName(String address);
    }

    /**
     * A member as this node sees it.
     *
     * @param update the latest update about it
     * @param since when this node saw it enter its state
     */
    public record MemberState(MemberUpdate update, Instant since) { }

    /** A known member with the bookkeeping for its latest update. */
    private static final class Member {
        MemberUpdate update;
        Instant since;
        /** How often the update has been sent. */
        int timesSent;
        final TreeSet<String> suspectedBy = new TreeSet<>();
        /**
         * Whether a process at another address uses the same name; the next message to this name then includes what is
         * known about it.
         */
        boolean contested;

        Member(MemberUpdate update, Instant since) {
            this.update = update;
            this.since = since;
            suspectedBy.add(update.by());
        }

        void replaceUpdate(MemberUpdate other) {
            update = other;
            timesSent = 0;
        }
    }

    /** The probe of the current period. */
    private static final class Probe {
        final String target;
        final long number;
        final Instant indirectAt;
        boolean acked;
        boolean indirectSent;
        int silentHelpers;

        Probe(String target, long number, Instant indirectAt) {
            this.target = target;
            this.number = number;
            this.indirectAt = indirectAt;
        }
    }

    /** A ping on behalf of another member: its address, the number it uses, and when to give up. */
    private record RelayedPing(String address, long number, Instant until) { }

    private final Settings settings;
    private final Actions actions;
    private Map<String, String> knownAddresses;
    private final SplittableRandom random;
    private final Map<String, Member> members = new TreeMap<>();
    private final Map<Long, RelayedPing> relayedPings = new TreeMap<>();
    private final List<String> probeOrder = new ArrayList<>();
    private MemberUpdate self;
    private Probe probe;
    private Instant nextPeriod;
    private long lastNumber;
    private long periodCount;
    /** Lifeguard's local health score: 0 is healthy; higher values make probing slower. */
    private int healthPenalty;
    private boolean joined;

    public Membership(Settings settings, Instant now, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        knownAddresses = settings.knownAddresses();
        random = new SplittableRandom(settings.seed());
        self = new MemberUpdate(settings.self(), settings.address(), settings.incarnation(), State.ALIVE, false, "");
        nextPeriod = now;
    }

    // ---- queries

    /** All members except this node, ordered by name. */
    public List<MemberState> members() {
        return members.values().stream().map(m -> new MemberState(m.update, m.since)).toList();
    }

    /** The update that this node sends about itself. */
    public MemberUpdate self() {
        return self;
    }

    /** When {@link #onTime} has to be called next. */
    public Instant due() {
        Instant due = nextPeriod;
        if (probe != null && !probe.acked && !probe.indirectSent) {
            due = earlier(due, probe.indirectAt);
        }
        for (RelayedPing e : relayedPings.values()) {
            due = earlier(due, e.until());
        }
        for (Member m : members.values()) {
            due = m.update.state() == State.SUSPECT ? earlier(due, suspicionDeadline(m)) : due;
        }
        return due;
    }

    private static Instant earlier(Instant a, Instant b) {
        return a.isBefore(b) ? a : b;
    }

    // ---- events

    /** Sets whether this node accepts clients. */
    public void setServing(boolean serves) {
        if (serves != self.serves()) {
            self = new MemberUpdate(self.name(), self.address(), self.incarnation() + 1, self.state(), serves, "");
        }
    }

    /** Replaces the members to contact besides those that are already known, and their addresses. */
    public void setKnownAddresses(Map<String, String> others) {
        knownAddresses = new TreeMap<>(others);
    }

    /** Announces that this node shuts down, so that others need not detect it. */
    public void leave() {
        self = self.withState(State.LEFT, "");
        for (Member m : randomAlive(INDIRECT_PROBES, "")) {
            send(m.update.name(), address(m.update), new GossipMessage.Ping(++lastNumber, List.of()));
        }
    }

    /** Handles a message of a member; {@code address} is where it came from. */
    public void onMessage(Instant now, String from, String address, GossipMessage message) {
        if (from.equals(settings.self())) {
            return;
        }
        message.updates().forEach(n -> applyUpdate(now, n));
        if (message instanceof GossipMessage.Ping p) {
            send(from, address, new GossipMessage.Ack(p.number(), List.of()));
        } else if (message instanceof GossipMessage.PingRequest p) {
            relayPing(now, from, address, p);
        } else if (message instanceof GossipMessage.Ack a) {
            onAck(from, address, a.number());
        } else if (message instanceof GossipMessage.Nack n && probe != null && probe.number == n.number()) {
            probe.silentHelpers--;
        } else if (message instanceof GossipMessage.MemberListRequest l) {
            sendMemberList(from, address, l.after());
        } else if (message instanceof GossipMessage.MemberListResponse l && !l.last().isEmpty()) {
            send(from, address, new GossipMessage.MemberListRequest(l.last(), List.of()));
        }
    }

    private void onAck(String from, String address, long number) {
        RelayedPing relayed = relayedPings.remove(number);
        if (relayed != null) {
            send("", relayed.address(), new GossipMessage.Ack(relayed.number(), List.of()));
        }
        if (probe != null && probe.number == number && !probe.acked) {
            probe.acked = true;
            healthPenalty = Math.max(0, healthPenalty - 1);
        }
        if (!joined) {
            joined = true;
            send(from, address, new GossipMessage.MemberListRequest("", List.of()));
        }
    }

    private void relayPing(Instant now, String from, String address, GossipMessage.PingRequest p) {
        if (relayedPings.size() >= MAX_RELAYED_PINGS) {
            send(from, address, new GossipMessage.Nack(p.number(), List.of()));
            return;
        }
        Member target = members.get(p.target());
        relayedPings.put(++lastNumber, new RelayedPing(address, p.number(), now.plus(timeout())));
        send(p.target(), target == null ? p.address() : address(target.update),
                new GossipMessage.Ping(lastNumber, List.of()));
    }

    private void sendMemberList(String from, String address, String after) {
        List<MemberUpdate> page = new ArrayList<>();
        int bytes = 0;
        String last = "";
        for (Member m : members.values()) {
            if (m.update.name().compareTo(after) > 0) {
                if (bytes + m.update.bytes() > MAX_UPDATE_BYTES) {
                    last = page.get(page.size() - 1).name();
                    break;
                }
                page.add(m.update);
                bytes += m.update.bytes();
            }
        }
        actions.send(address, new GossipMessage.MemberListResponse(last, page));
    }

    // ---- updates

    private void applyUpdate(Instant now, MemberUpdate n) {
        if (n.name().equals(settings.self())) {
            applyUpdateAboutSelf(n);
            return;
        }
        Member m = members.get(n.name());
        if (m == null) {
            if (n.isAliveOrSuspect() && members.size() < MAX_MEMBERS) {
                m = new Member(n, now);
                members.put(n.name(), m);
                actions.memberChanged(n);
            }
        } else if (n.supersedes(m.update)) {
            boolean hasChanged = n.state() != m.update.state() || n.serves() != m.update.serves();
            m.since = n.state() == m.update.state() && n.state() != State.SUSPECT ? m.since : now;
            m.replaceUpdate(n);
            m.suspectedBy.clear();
            m.suspectedBy.add(n.by());
            if (hasChanged) {
                actions.memberChanged(n);
            }
        } else if (n.state() == State.ALIVE && !n.address().equals(m.update.address())) {
            m.contested = true;
        } else if (n.state() == State.SUSPECT && m.update.state() == State.SUSPECT
                && n.incarnation() == m.update.incarnation() && m.suspectedBy.size() <= CONFIRMATIONS
                && m.suspectedBy.add(n.by())) {
            m.replaceUpdate(n); // passes on that one more member suspects it
        }
    }

    /**
     * Refutes wrong updates about this node with a higher incarnation: that it is suspected or has failed, or what an
     * earlier process of the same name and incarnation said about serving clients.
     */
    protected void applyUpdateAboutSelf(MemberUpdate n) {
        boolean duplicate = n.state() == State.ALIVE && n.incarnation() >= self.incarnation()
                && !n.address().equals(self.address());
        if (duplicate) {
            actions.duplicateName(n.address());
        }
        boolean isRefutable = n.state() != State.ALIVE && n.incarnation() >= self.incarnation();
        boolean isOutdated = n.incarnation() == self.incarnation() && n.serves() != self.serves();
        if ((isRefutable || isOutdated || n.incarnation() > self.incarnation()) && self.state() != State.LEFT) {
            self = new MemberUpdate(self.name(), self.address(), n.incarnation() + 1, State.ALIVE, self.serves(), "");
            healthPenalty = Math.min(MAX_HEALTH_PENALTY, healthPenalty + (isRefutable ? 1 : 0));
        }
    }

    /**
     * Sends a message with piggybacked updates.
     *
     * @param to the receiver's name; empty if it is not known
     */
    private void send(String to, String address, GossipMessage message) {
        List<MemberUpdate> updates = updatesFor(to);
        if (message instanceof GossipMessage.Ping p) {
            actions.send(address, new GossipMessage.Ping(p.number(), updates));
        } else if (message instanceof GossipMessage.Ack a) {
            actions.send(address, new GossipMessage.Ack(a.number(), updates));
        } else if (message instanceof GossipMessage.PingRequest p) {
            actions.send(address, new GossipMessage.PingRequest(p.number(), p.target(), p.address(), updates));
        } else if (message instanceof GossipMessage.Nack n) {
            actions.send(address, new GossipMessage.Nack(n.number(), updates));
        } else if (message instanceof GossipMessage.MemberListRequest l) {
            actions.send(address, new GossipMessage.MemberListRequest(l.after(), updates));
        }
    }

    /**
     * The updates for a message: first one about the receiver if it has to be refuted, then the one about this node,
     * then the least often sent ones.
     */
    private List<MemberUpdate> updatesFor(String to) {
        List<MemberUpdate> updates = new ArrayList<>();
        int bytes = self.bytes();
        Member receiver = members.get(to);
        if (receiver != null && (receiver.contested || receiver.update.state() != State.ALIVE)) {
            receiver.contested = false;
            updates.add(receiver.update);
            bytes += receiver.update.bytes();
        }
        int maxTransmissions = RETRANSMIT_FACTOR * (32 - Integer.numberOfLeadingZeros(members.size() + 1));
        updates.add(self); // always, so that a node that forgot this one or considers it failed learns of it again
        List<Member> pending = new ArrayList<>();
        for (Member m : members.values()) {
            if (m.timesSent < maxTransmissions && m != receiver) {
                pending.add(m);
            }
        }
        pending.sort(Comparator.comparingInt(m -> m.timesSent)); // a stable sort, so ties stay ordered by name
        for (Member m : pending) {
            bytes += m.update.bytes();
            if (bytes > MAX_UPDATE_BYTES) {
                break;
            }
            updates.add(m.update);
            m.timesSent++;
        }
        return updates;
    }

    // ---- time

    /** Runs what is due: probes, indirect probes, timeouts of relayed pings and of suspicions. */
    public void onTime(Instant now) {
        if (now.isAfter(nextPeriod.plus(timeout()))) {
            afterStall(now);
        }
        for (Iterator<RelayedPing> i = relayedPings.values().iterator(); i.hasNext();) {
            RelayedPing e = i.next();
            if (!now.isBefore(e.until())) {
                i.remove();
                send("", e.address(), new GossipMessage.Nack(e.number(), List.of()));
            }
        }
        expireMembers(now);
        if (probe != null && !probe.acked && !probe.indirectSent && !now.isBefore(probe.indirectAt)) {
            sendIndirectPings();
        }
        if (!now.isBefore(nextPeriod)) {
            endProbe(now);
            nextPeriod = now.plus(settings.probePeriod().multipliedBy(healthPenalty + 1L));
            startPeriod(now);
        }
    }

    /**
     * This process was stalled, so answers to its probe may have arrived without having been read yet. Suspicions are
     * extended by the time it was stalled.
     */
    private void afterStall(Instant now) {
        Duration stall = Duration.between(nextPeriod, now);
        members.values().stream().filter(m -> m.update.state() == State.SUSPECT)
                .forEach(m -> m.since = m.since.plus(stall));
        healthPenalty = Math.min(MAX_HEALTH_PENALTY, healthPenalty + 1);
        probe = null;
    }

    private Duration timeout() {
        return settings.probePeriod().dividedBy(3);
    }

    private void startPeriod(Instant now) {
        periodCount++;
        String target = nextProbeTarget();
        probe = null;
        if (target != null) {
            probe = new Probe(target, ++lastNumber, now.plus(timeout().multipliedBy(healthPenalty + 1L)));
            send(target, address(members.get(target).update), new GossipMessage.Ping(probe.number, List.of()));
        }
        pingLostMember();
        if (periodCount % LIST_SYNC_PERIODS == 0) {
            randomAlive(1, "").forEach(m ->
                    send(m.update.name(), address(m.update), new GossipMessage.MemberListRequest("", List.of())));
        }
    }

    /**
     * The next member in a round-robin order that is shuffled for each round, so that nobody waits longer than two
     * rounds.
     */
    private String nextProbeTarget() {
        while (true) {
            if (probeOrder.isEmpty()) {
                members.values().stream().filter(m -> m.update.isAliveOrSuspect())
                        .forEach(m -> probeOrder.add(random.nextInt(probeOrder.size() + 1), m.update.name()));
                if (probeOrder.isEmpty()) {
                    return null;
                }
            }
            String name = probeOrder.remove(probeOrder.size() - 1);
            if (members.containsKey(name) && members.get(name).update.isAliveOrSuspect()) {
                return name;
            }
        }
    }

    /** Pings one of the members that are expected but missing or failed. */
    private void pingLostMember() {
        List<String> lost = new ArrayList<>();
        for (String name : knownAddresses.keySet()) {
            if (!name.equals(settings.self()) && !members.containsKey(name)) {
                lost.add(name);
            }
        }
        members.values().stream().filter(m -> m.update.state() == State.DEAD).forEach(m -> lost.add(m.update.name()));
        if (!lost.isEmpty()) {
            String name = lost.get(random.nextInt(lost.size()));
            Member m = members.get(name);
            send(name, m == null ? knownAddresses.get(name) : address(m.update),
                    new GossipMessage.Ping(++lastNumber, List.of()));
        }
    }

    private String address(MemberUpdate update) {
        return knownAddresses.getOrDefault(update.name(), update.address());
    }

    private List<Member> randomAlive(int max, String except) {
        List<Member> there = new ArrayList<>();
        for (Member m : members.values()) {
            if (m.update.state() == State.ALIVE && !m.update.name().equals(except)) {
                there.add(m);
            }
        }
        while (there.size() > max) {
            there.remove(random.nextInt(there.size()));
        }
        return there;
    }

    private void sendIndirectPings() {
        probe.indirectSent = true;
        Member target = members.get(probe.target);
        if (target != null) {
            for (Member m : randomAlive(INDIRECT_PROBES, probe.target)) {
                probe.silentHelpers++;
                send(m.update.name(), address(m.update),
                        new GossipMessage.PingRequest(probe.number, probe.target, target.update.address(),
                        List.of()));
            }
        }
    }

    private void endProbe(Instant now) {
        if (probe == null || probe.acked) {
            return;
        }
        // Helpers that send neither ack nor nack suggest that this node itself does not receive messages.
        healthPenalty = Math.min(MAX_HEALTH_PENALTY, healthPenalty
                + Math.max(probe.silentHelpers, probe.indirectSent ? 0 : 1));
        Member m = members.get(probe.target);
        if (m != null && m.update.isAliveOrSuspect()) {
            applyUpdate(now, m.update.withState(State.SUSPECT, settings.self()));
        }
    }

    private Instant suspicionDeadline(Member m) {
        double scale = Math.max(1, Math.log10(members.size() + 1.0));
        double minTimeout = settings.probePeriod().toNanos() * SUSPICION_PERIODS * scale;
        int others = Math.min(CONFIRMATIONS, members.size() - 1);
        double confirmed = others <= 0 ? 1
                // the first suspecting member counts as one
                : Math.min(1, Math.log(m.suspectedBy.size()) / Math.log(others + 1.0));
        return m.since.plusNanos((long) (minTimeout * UNCONFIRMED_FACTOR
                - minTimeout * (UNCONFIRMED_FACTOR - 1) * confirmed));
    }

    private void expireMembers(Instant now) {
        for (Member m : List.copyOf(members.values())) {
            if (m.update.state() == State.SUSPECT && !now.isBefore(suspicionDeadline(m))) {
                applyUpdate(now, m.update.withState(State.DEAD, settings.self()));
            } else if (!m.update.isAliveOrSuspect()
                    && !now.isBefore(m.since.plus(settings.probePeriod().multipliedBy(FORGET_PERIODS)))) {
                members.remove(m.update.name());
            }
        }
    }
}
