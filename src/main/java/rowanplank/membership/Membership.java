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
 * Who lives, as a hint that decides nothing about safety: SWIM (Das, Gupta and Motivala, 2002) with Lifeguard (Dadgar,
 * Phillips and Currey, 2017). Each period one member is asked, the others in turn; where it does not answer, three others ask
 * it; where that brings nothing it is suspected, and dead once nobody, itself included, has said otherwise in time. Who is
 * itself slow to hear, or is suspected, asks more slowly and suspects later. News rides on what is sent anyway; now and
 * then a node takes the whole list of another, page by page, and calls those that are lost, so that what was parted
 * finds together again.
 *
 * <p>Bounds: {@value #MAX_MEMBERS} members, {@value #MAX_UPDATE_BYTES} bytes of news a message, {@value #MAX_RELAYED_PINGS}
 * questions asked for others. A message costs O(members).
 */
public class Membership {
    public static final int MAX_MEMBERS = 1000;
    public static final int MAX_UPDATE_BYTES = 900;
    private static final int MAX_RELAYED_PINGS = 64;
    private static final int INDIRECT_PROBES = 3;
    private static final int MAX_HEALTH_PENALTY = 4;
    /** News is passed on so many times the logarithm of the members. */
    private static final int RETRANSMIT_FACTOR = 3;
    /** A suspect is dead after so many periods, times the decimal logarithm of the members, where others agree. */
    private static final int SUSPICION_PERIODS = 4;
    /** And so many times as long where nobody has said so as well. */
    private static final int UNCONFIRMED_FACTOR = 4;
    private static final int CONFIRMATIONS = 2;
    private static final int LIST_SYNC_PERIODS = 16;
    private static final int FORGET_PERIODS = 300;

    /**
     * @param address where others find this node, as it tells them
     * @param incarnation above that of any process of this name before
     * @param knownAddresses whom it begins with, and where it finds them, whatever they say of themselves
     * @param probePeriod how often it asks somebody
     */
    public record Settings(String self, String address, long incarnation, Map<String, String> knownAddresses, Duration probePeriod,
            long seed) {
        public Settings {
            knownAddresses = new TreeMap<>(knownAddresses);
        }
    }

    /** What it asks of its owner; none of these calls back into it. */
    public interface Actions {
        void send(String address, GossipMessage note);

        /** What is known of a member has changed. */
        void memberChanged(MemberUpdate news);

        /** Another process says that it is this node. */
        void duplicateName(String address);
    }

    /** A member as this node knows it. @param since when it came to be so, here */
    public record MemberState(MemberUpdate update, Instant since) { }

    private static final class Member {
        MemberUpdate update;
        Instant since;
        /** How often the news was passed on. */
        int timesSent;
        final TreeSet<String> suspectedBy = new TreeSet<>();
        /** Somebody of its name says that it is elsewhere: whoever comes by that name next is told what is known. */
        boolean contested;

        Member(MemberUpdate news, Instant since) {
            this.update = news;
            this.since = since;
            suspectedBy.add(news.by());
        }

        void replaceUpdate(MemberUpdate other) {
            update = other;
            timesSent = 0;
        }
    }

    private static final class Probe {
        final String target;
        final long number;
        final Instant indirectAt;
        boolean acked;
        boolean indirectSent;
        int silentHelpers;

        Probe(String target, long number, Instant helpAt) {
            this.target = target;
            this.number = number;
            this.indirectAt = helpAt;
        }
    }

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

    // ---- asked

    /** All but this node, in the order of their names. */
    public List<MemberState> members() {
        return members.values().stream().map(m -> new MemberState(m.update, m.since)).toList();
    }

    /** What this node says of itself. */
    public MemberUpdate self() {
        return self;
    }

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

    // ---- told

    /** Whether this node takes clients. */
    public void setServing(boolean serves) {
        if (serves != self.serves()) {
            self = new MemberUpdate(self.name(), self.address(), self.incarnation() + 1, self.state(), serves, "");
        }
    }

    /** Whom it is to find from now on, and where, beside all that it has met. */
    public void setKnownAddresses(Map<String, String> others) {
        knownAddresses = new TreeMap<>(others);
    }

    /** It ends, in order: others need not find out. */
    public void leave() {
        self = self.withState(State.LEFT, "");
        for (Member m : randomAlive(INDIRECT_PROBES, "")) {
            send(m.update.name(), address(m.update), new GossipMessage.Ping(++lastNumber, List.of()));
        }
    }

    public void onMessage(Instant now, String from, String address, GossipMessage note) {
        if (from.equals(settings.self())) {
            return;
        }
        note.updates().forEach(n -> applyUpdate(now, n));
        if (note instanceof GossipMessage.Ping p) {
            send(from, address, new GossipMessage.Ack(p.number(), List.of()));
        } else if (note instanceof GossipMessage.PingRequest p) {
            relayPing(now, from, address, p);
        } else if (note instanceof GossipMessage.Ack a) {
            onAck(from, address, a.number());
        } else if (note instanceof GossipMessage.Nack n && probe != null && probe.number == n.number()) {
            probe.silentHelpers--;
        } else if (note instanceof GossipMessage.MemberListRequest l) {
            sendMemberList(from, address, l.after());
        } else if (note instanceof GossipMessage.MemberListResponse l && !l.last().isEmpty()) {
            send(from, address, new GossipMessage.MemberListRequest(l.last(), List.of()));
        }
    }

    private void onAck(String from, String address, long number) {
        RelayedPing errand = relayedPings.remove(number);
        if (errand != null) {
            send("", errand.address(), new GossipMessage.Ack(errand.number(), List.of()));
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
        send(p.target(), target == null ? p.address() : address(target.update), new GossipMessage.Ping(lastNumber, List.of()));
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

    // ---- news

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
            boolean other = n.state() != m.update.state() || n.serves() != m.update.serves();
            m.since = n.state() == m.update.state() && n.state() != State.SUSPECT ? m.since : now;
            m.replaceUpdate(n);
            m.suspectedBy.clear();
            m.suspectedBy.add(n.by());
            if (other) {
                actions.memberChanged(n);
            }
        } else if (n.state() == State.ALIVE && !n.address().equals(m.update.address())) {
            m.contested = true;
        } else if (n.state() == State.SUSPECT && m.update.state() == State.SUSPECT
                && n.incarnation() == m.update.incarnation() && m.suspectedBy.size() <= CONFIRMATIONS
                && m.suspectedBy.add(n.by())) {
            m.replaceUpdate(n); // so that the others hear of each who says so
        }
    }

    /**
     * Whoever is thought dead and lives says so, louder; and so does who is said to serve, or not to, by an earlier process of
     * its name, which came to the same number.
     */
    protected void applyUpdateAboutSelf(MemberUpdate n) {
        boolean duplicate = n.state() == State.ALIVE && n.incarnation() >= self.incarnation()
                && !n.address().equals(self.address());
        if (duplicate) {
            actions.duplicateName(n.address());
        }
        boolean wrong = n.state() != State.ALIVE && n.incarnation() >= self.incarnation();
        boolean earlier = n.incarnation() == self.incarnation() && n.serves() != self.serves();
        if ((wrong || earlier || n.incarnation() > self.incarnation()) && self.state() != State.LEFT) {
            self = new MemberUpdate(self.name(), self.address(), n.incarnation() + 1, State.ALIVE, self.serves(), "");
            healthPenalty = Math.min(MAX_HEALTH_PENALTY, healthPenalty + (wrong ? 1 : 0));
        }
    }

    /** Puts news to a message, and sends it. @param to empty where the message is passed on */
    private void send(String to, String address, GossipMessage note) {
        List<MemberUpdate> news = updatesFor(to);
        if (note instanceof GossipMessage.Ping p) {
            actions.send(address, new GossipMessage.Ping(p.number(), news));
        } else if (note instanceof GossipMessage.Ack a) {
            actions.send(address, new GossipMessage.Ack(a.number(), news));
        } else if (note instanceof GossipMessage.PingRequest p) {
            actions.send(address, new GossipMessage.PingRequest(p.number(), p.target(), p.address(), news));
        } else if (note instanceof GossipMessage.Nack n) {
            actions.send(address, new GossipMessage.Nack(n.number(), news));
        } else if (note instanceof GossipMessage.MemberListRequest l) {
            actions.send(address, new GossipMessage.MemberListRequest(l.after(), news));
        }
    }

    /** First what is wrongly thought of whom it goes to, then this node, then what was passed on least. */
    private List<MemberUpdate> updatesFor(String to) {
        List<MemberUpdate> news = new ArrayList<>();
        int bytes = self.bytes();
        Member receiver = members.get(to);
        if (receiver != null && (receiver.contested || receiver.update.state() != State.ALIVE)) {
            receiver.contested = false;
            news.add(receiver.update);
            bytes += receiver.update.bytes();
        }
        int most = RETRANSMIT_FACTOR * (32 - Integer.numberOfLeadingZeros(members.size() + 1));
        news.add(self); // always: whoever has forgotten this node, or thinks it dead, hears of it again
        List<Member> fresh = new ArrayList<>();
        for (Member m : members.values()) {
            if (m.timesSent < most && m != receiver) {
                fresh.add(m);
            }
        }
        fresh.sort(Comparator.comparingInt(m -> m.timesSent)); // stable, so in the order of names
        for (Member m : fresh) {
            bytes += m.update.bytes();
            if (bytes > MAX_UPDATE_BYTES) {
                break;
            }
            news.add(m.update);
            m.timesSent++;
        }
        return news;
    }

    // ---- time

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

    /** This node was away: the answers that it waits for may be here, and not read yet. */
    private void afterStall(Instant now) {
        Duration away = Duration.between(nextPeriod, now);
        members.values().stream().filter(m -> m.update.state() == State.SUSPECT)
                .forEach(m -> m.since = m.since.plus(away));
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
            randomAlive(1, "").forEach(m -> send(m.update.name(), address(m.update), new GossipMessage.MemberListRequest("", List.of())));
        }
    }

    /** All in turn, in an order that is drawn anew each time: nobody waits for longer than two rounds. */
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

    /** One of those that should be there and are not. */
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
            send(name, m == null ? knownAddresses.get(name) : address(m.update), new GossipMessage.Ping(++lastNumber, List.of()));
        }
    }

    private String address(MemberUpdate news) {
        return knownAddresses.getOrDefault(news.name(), news.address());
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
                send(m.update.name(), address(m.update), new GossipMessage.PingRequest(probe.number, probe.target, target.update.address(),
                        List.of()));
            }
        }
    }

    private void endProbe(Instant now) {
        if (probe == null || probe.acked) {
            return;
        }
        // Helpers that say nothing at all: it may be this node that hears nobody.
        healthPenalty = Math.min(MAX_HEALTH_PENALTY, healthPenalty + Math.max(probe.silentHelpers, probe.indirectSent ? 0 : 1));
        Member m = members.get(probe.target);
        if (m != null && m.update.isAliveOrSuspect()) {
            applyUpdate(now, m.update.withState(State.SUSPECT, settings.self()));
        }
    }

    private Instant suspicionDeadline(Member m) {
        double scale = Math.max(1, Math.log10(members.size() + 1.0));
        double least = settings.probePeriod().toNanos() * SUSPICION_PERIODS * scale;
        int others = Math.min(CONFIRMATIONS, members.size() - 1);
        double share = others <= 0 ? 1
                : Math.min(1, Math.log(m.suspectedBy.size()) / Math.log(others + 1.0)); // who began counts as one
        return m.since.plusNanos((long) (least * UNCONFIRMED_FACTOR - least * (UNCONFIRMED_FACTOR - 1) * share));
    }

    private void expireMembers(Instant now) {
        for (Member m : List.copyOf(members.values())) {
            if (m.update.state() == State.SUSPECT && !now.isBefore(suspicionDeadline(m))) {
                applyUpdate(now, m.update.withState(State.DEAD, settings.self()));
            } else if (!m.update.isAliveOrSuspect() && !now.isBefore(m.since.plus(settings.probePeriod().multipliedBy(FORGET_PERIODS)))) {
                members.remove(m.update.name());
            }
        }
    }
}
