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
import rowanplank.membership.News.State;

/**
 * Who lives, as a hint that decides nothing about safety: SWIM (Das, Gupta and Motivala, 2002) with Lifeguard (Dadgar,
 * Phillips and Currey, 2017). Each period one member is asked, the others in turn; where it does not answer, three others ask
 * it; where that brings nothing it is suspected, and dead once nobody, itself included, has said otherwise in time. Who is
 * itself slow to hear, or is suspected, asks more slowly and suspects later. News rides on what is sent anyway; now and
 * then a node takes the whole list of another, page by page, and calls those that are lost, so that what was parted
 * finds together again.
 *
 * <p>Bounds: {@value #MOST_MEMBERS} members, {@value #MOST_NEWS_BYTES} bytes of news a message, {@value #MOST_ERRANDS}
 * questions asked for others. A message costs O(members).
 */
public class Membership {
    public static final int MOST_MEMBERS = 1000;
    public static final int MOST_NEWS_BYTES = 900;
    private static final int MOST_ERRANDS = 64;
    private static final int HELPERS = 3;
    private static final int MOST_SLOWED = 4;
    /** News is passed on so many times the logarithm of the members. */
    private static final int RETELL = 3;
    /** A suspect is dead after so many periods, times the decimal logarithm of the members, where others agree. */
    private static final int SUSPECT_PERIODS = 4;
    /** And so many times as long where nobody has said so as well. */
    private static final int ALONE = 4;
    private static final int CONFIRMATIONS = 2;
    private static final int LIST_EVERY = 16;
    private static final int FORGET_PERIODS = 300;

    /**
     * @param address where others find this node, as it tells them
     * @param incarnation above that of any process of this name before
     * @param known whom it begins with, and where it finds them, whatever they say of themselves
     * @param period how often it asks somebody
     */
    public record Settings(String self, String address, long incarnation, Map<String, String> known, Duration period,
            long seed) {
        public Settings {
            known = new TreeMap<>(known);
        }
    }

    /** What it asks of its owner; none of these calls back into it. */
    public interface Actions {
        void send(String address, Note note);

        /** What is known of a member has changed. */
        void changed(News news);

        /** Another process says that it is this node. */
        void twin(String address);
    }

    /** A member as this node knows it. @param since when it came to be so, here */
    public record Known(News news, Instant since) { }

    private static final class Member {
        News news;
        Instant since;
        /** How often the news was passed on. */
        int told;
        final TreeSet<String> suspectedBy = new TreeSet<>();
        /** Somebody of its name says that it is elsewhere: whoever comes by that name next is told what is known. */
        boolean contested;

        Member(News news, Instant since) {
            this.news = news;
            this.since = since;
            suspectedBy.add(news.by());
        }

        void put(News other) {
            news = other;
            told = 0;
        }
    }

    private static final class Probe {
        final String target;
        final long number;
        final Instant helpAt;
        boolean answered;
        boolean helpAsked;
        int helpers;

        Probe(String target, long number, Instant helpAt) {
            this.target = target;
            this.number = number;
            this.helpAt = helpAt;
        }
    }

    private record Errand(String address, long number, Instant until) { }

    private final Settings settings;
    private final Actions actions;
    private Map<String, String> known;
    private final SplittableRandom random;
    private final Map<String, Member> members = new TreeMap<>();
    private final Map<Long, Errand> errands = new TreeMap<>();
    private final List<String> turn = new ArrayList<>();
    private News self;
    private Probe probe;
    private Instant nextPeriod;
    private long numbers;
    private long periods;
    private int slowed;
    private boolean joined;

    public Membership(Settings settings, Instant now, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        known = settings.known();
        random = new SplittableRandom(settings.seed());
        self = new News(settings.self(), settings.address(), settings.incarnation(), State.ALIVE, false, "");
        nextPeriod = now;
    }

    // ---- asked

    /** All but this node, in the order of their names. */
    public List<Known> members() {
        return members.values().stream().map(m -> new Known(m.news, m.since)).toList();
    }

    /** What this node says of itself. */
    public News self() {
        return self;
    }

    public Instant due() {
        Instant due = nextPeriod;
        if (probe != null && !probe.answered && !probe.helpAsked) {
            due = earlier(due, probe.helpAt);
        }
        for (Errand e : errands.values()) {
            due = earlier(due, e.until());
        }
        for (Member m : members.values()) {
            due = m.news.state() == State.SUSPECT ? earlier(due, deadAt(m)) : due;
        }
        return due;
    }

    private static Instant earlier(Instant a, Instant b) {
        return a.isBefore(b) ? a : b;
    }

    // ---- told

    /** Whether this node takes clients. */
    public void serves(boolean serves) {
        if (serves != self.serves()) {
            self = new News(self.name(), self.address(), self.incarnation() + 1, self.state(), serves, "");
        }
    }

    /** Whom it is to find from now on, and where, beside all that it has met. */
    public void known(Map<String, String> others) {
        known = new TreeMap<>(others);
    }

    /** It ends, in order: others need not find out. */
    public void leave() {
        self = self.as(State.LEFT, "");
        for (Member m : some(HELPERS, "")) {
            send(m.news.name(), address(m.news), new Note.Ping(++numbers, List.of()));
        }
    }

    public void onNote(Instant now, String from, String address, Note note) {
        if (from.equals(settings.self())) {
            return;
        }
        note.news().forEach(n -> learn(now, n));
        if (note instanceof Note.Ping p) {
            send(from, address, new Note.Ack(p.number(), List.of()));
        } else if (note instanceof Note.PingFor p) {
            runErrand(now, from, address, p);
        } else if (note instanceof Note.Ack a) {
            answered(from, address, a.number());
        } else if (note instanceof Note.Nack n && probe != null && probe.number == n.number()) {
            probe.helpers--;
        } else if (note instanceof Note.ListAsk l) {
            list(from, address, l.after());
        } else if (note instanceof Note.ListReply l && !l.last().isEmpty()) {
            send(from, address, new Note.ListAsk(l.last(), List.of()));
        }
    }

    private void answered(String from, String address, long number) {
        Errand errand = errands.remove(number);
        if (errand != null) {
            send("", errand.address(), new Note.Ack(errand.number(), List.of()));
        }
        if (probe != null && probe.number == number && !probe.answered) {
            probe.answered = true;
            slowed = Math.max(0, slowed - 1);
        }
        if (!joined) {
            joined = true;
            send(from, address, new Note.ListAsk("", List.of()));
        }
    }

    private void runErrand(Instant now, String from, String address, Note.PingFor p) {
        if (errands.size() >= MOST_ERRANDS) {
            send(from, address, new Note.Nack(p.number(), List.of()));
            return;
        }
        Member target = members.get(p.target());
        errands.put(++numbers, new Errand(address, p.number(), now.plus(timeout())));
        send(p.target(), target == null ? p.address() : address(target.news), new Note.Ping(numbers, List.of()));
    }

    private void list(String from, String address, String after) {
        List<News> page = new ArrayList<>();
        int bytes = 0;
        String last = "";
        for (Member m : members.values()) {
            if (m.news.name().compareTo(after) > 0) {
                if (bytes + m.news.bytes() > MOST_NEWS_BYTES) {
                    last = page.get(page.size() - 1).name();
                    break;
                }
                page.add(m.news);
                bytes += m.news.bytes();
            }
        }
        actions.send(address, new Note.ListReply(last, page));
    }

    // ---- news

    private void learn(Instant now, News n) {
        if (n.name().equals(settings.self())) {
            learnOfSelf(n);
            return;
        }
        Member m = members.get(n.name());
        if (m == null) {
            if (n.isThere() && members.size() < MOST_MEMBERS) {
                m = new Member(n, now);
                members.put(n.name(), m);
                actions.changed(n);
            }
        } else if (n.beats(m.news)) {
            boolean other = n.state() != m.news.state() || n.serves() != m.news.serves();
            m.since = n.state() == m.news.state() && n.state() != State.SUSPECT ? m.since : now;
            m.put(n);
            m.suspectedBy.clear();
            m.suspectedBy.add(n.by());
            if (other) {
                actions.changed(n);
            }
        } else if (n.state() == State.ALIVE && !n.address().equals(m.news.address())) {
            m.contested = true;
        } else if (n.state() == State.SUSPECT && m.news.state() == State.SUSPECT
                && n.incarnation() == m.news.incarnation() && m.suspectedBy.size() <= CONFIRMATIONS
                && m.suspectedBy.add(n.by())) {
            m.put(n); // so that the others hear of each who says so
        }
    }

    /**
     * Whoever is thought dead and lives says so, louder; and so does who is said to serve, or not to, by an earlier process of
     * its name, which came to the same number.
     */
    protected void learnOfSelf(News n) {
        boolean twin = n.state() == State.ALIVE && n.incarnation() >= self.incarnation()
                && !n.address().equals(self.address());
        if (twin) {
            actions.twin(n.address());
        }
        boolean wrong = n.state() != State.ALIVE && n.incarnation() >= self.incarnation();
        boolean earlier = n.incarnation() == self.incarnation() && n.serves() != self.serves();
        if ((wrong || earlier || n.incarnation() > self.incarnation()) && self.state() != State.LEFT) {
            self = new News(self.name(), self.address(), n.incarnation() + 1, State.ALIVE, self.serves(), "");
            slowed = Math.min(MOST_SLOWED, slowed + (wrong ? 1 : 0));
        }
    }

    /** Puts news to a message, and sends it. @param to empty where the message is passed on */
    private void send(String to, String address, Note note) {
        List<News> news = newsFor(to);
        if (note instanceof Note.Ping p) {
            actions.send(address, new Note.Ping(p.number(), news));
        } else if (note instanceof Note.Ack a) {
            actions.send(address, new Note.Ack(a.number(), news));
        } else if (note instanceof Note.PingFor p) {
            actions.send(address, new Note.PingFor(p.number(), p.target(), p.address(), news));
        } else if (note instanceof Note.Nack n) {
            actions.send(address, new Note.Nack(n.number(), news));
        } else if (note instanceof Note.ListAsk l) {
            actions.send(address, new Note.ListAsk(l.after(), news));
        }
    }

    /** First what is wrongly thought of whom it goes to, then this node, then what was passed on least. */
    private List<News> newsFor(String to) {
        List<News> news = new ArrayList<>();
        int bytes = self.bytes();
        Member receiver = members.get(to);
        if (receiver != null && (receiver.contested || receiver.news.state() != State.ALIVE)) {
            receiver.contested = false;
            news.add(receiver.news);
            bytes += receiver.news.bytes();
        }
        int most = RETELL * (32 - Integer.numberOfLeadingZeros(members.size() + 1));
        news.add(self); // always: whoever has forgotten this node, or thinks it dead, hears of it again
        List<Member> fresh = new ArrayList<>();
        for (Member m : members.values()) {
            if (m.told < most && m != receiver) {
                fresh.add(m);
            }
        }
        fresh.sort(Comparator.comparingInt(m -> m.told)); // stable, so in the order of names
        for (Member m : fresh) {
            bytes += m.news.bytes();
            if (bytes > MOST_NEWS_BYTES) {
                break;
            }
            news.add(m.news);
            m.told++;
        }
        return news;
    }

    // ---- time

    public void onTime(Instant now) {
        if (now.isAfter(nextPeriod.plus(timeout()))) {
            stoodStill(now);
        }
        for (Iterator<Errand> i = errands.values().iterator(); i.hasNext();) {
            Errand e = i.next();
            if (!now.isBefore(e.until())) {
                i.remove();
                send("", e.address(), new Note.Nack(e.number(), List.of()));
            }
        }
        bury(now);
        if (probe != null && !probe.answered && !probe.helpAsked && !now.isBefore(probe.helpAt)) {
            askForHelp();
        }
        if (!now.isBefore(nextPeriod)) {
            endProbe(now);
            nextPeriod = now.plus(settings.period().multipliedBy(slowed + 1L));
            period(now);
        }
    }

    /** This node was away: the answers that it waits for may be here, and not read yet. */
    private void stoodStill(Instant now) {
        Duration away = Duration.between(nextPeriod, now);
        members.values().stream().filter(m -> m.news.state() == State.SUSPECT)
                .forEach(m -> m.since = m.since.plus(away));
        slowed = Math.min(MOST_SLOWED, slowed + 1);
        probe = null;
    }

    private Duration timeout() {
        return settings.period().dividedBy(3);
    }

    private void period(Instant now) {
        periods++;
        String target = next();
        probe = null;
        if (target != null) {
            probe = new Probe(target, ++numbers, now.plus(timeout().multipliedBy(slowed + 1L)));
            send(target, address(members.get(target).news), new Note.Ping(probe.number, List.of()));
        }
        callLost();
        if (periods % LIST_EVERY == 0) {
            some(1, "").forEach(m -> send(m.news.name(), address(m.news), new Note.ListAsk("", List.of())));
        }
    }

    /** All in turn, in an order that is drawn anew each time: nobody waits for longer than two rounds. */
    private String next() {
        while (true) {
            if (turn.isEmpty()) {
                members.values().stream().filter(m -> m.news.isThere())
                        .forEach(m -> turn.add(random.nextInt(turn.size() + 1), m.news.name()));
                if (turn.isEmpty()) {
                    return null;
                }
            }
            String name = turn.remove(turn.size() - 1);
            if (members.containsKey(name) && members.get(name).news.isThere()) {
                return name;
            }
        }
    }

    /** One of those that should be there and are not. */
    private void callLost() {
        List<String> lost = new ArrayList<>();
        for (String name : known.keySet()) {
            if (!name.equals(settings.self()) && !members.containsKey(name)) {
                lost.add(name);
            }
        }
        members.values().stream().filter(m -> m.news.state() == State.DEAD).forEach(m -> lost.add(m.news.name()));
        if (!lost.isEmpty()) {
            String name = lost.get(random.nextInt(lost.size()));
            Member m = members.get(name);
            send(name, m == null ? known.get(name) : address(m.news), new Note.Ping(++numbers, List.of()));
        }
    }

    private String address(News news) {
        return known.getOrDefault(news.name(), news.address());
    }

    private List<Member> some(int most, String but) {
        List<Member> there = new ArrayList<>();
        for (Member m : members.values()) {
            if (m.news.state() == State.ALIVE && !m.news.name().equals(but)) {
                there.add(m);
            }
        }
        while (there.size() > most) {
            there.remove(random.nextInt(there.size()));
        }
        return there;
    }

    private void askForHelp() {
        probe.helpAsked = true;
        Member target = members.get(probe.target);
        if (target != null) {
            for (Member m : some(HELPERS, probe.target)) {
                probe.helpers++;
                send(m.news.name(), address(m.news), new Note.PingFor(probe.number, probe.target, target.news.address(),
                        List.of()));
            }
        }
    }

    private void endProbe(Instant now) {
        if (probe == null || probe.answered) {
            return;
        }
        // Helpers that say nothing at all: it may be this node that hears nobody.
        slowed = Math.min(MOST_SLOWED, slowed + Math.max(probe.helpers, probe.helpAsked ? 0 : 1));
        Member m = members.get(probe.target);
        if (m != null && m.news.isThere()) {
            learn(now, m.news.as(State.SUSPECT, settings.self()));
        }
    }

    private Instant deadAt(Member m) {
        double scale = Math.max(1, Math.log10(members.size() + 1.0));
        double least = settings.period().toNanos() * SUSPECT_PERIODS * scale;
        int others = Math.min(CONFIRMATIONS, members.size() - 1);
        double share = others <= 0 ? 1
                : Math.min(1, Math.log(m.suspectedBy.size()) / Math.log(others + 1.0)); // who began counts as one
        return m.since.plusNanos((long) (least * ALONE - least * (ALONE - 1) * share));
    }

    private void bury(Instant now) {
        for (Member m : List.copyOf(members.values())) {
            if (m.news.state() == State.SUSPECT && !now.isBefore(deadAt(m))) {
                learn(now, m.news.as(State.DEAD, settings.self()));
            } else if (!m.news.isThere() && !now.isBefore(m.since.plus(settings.period().multipliedBy(FORGET_PERIODS)))) {
                members.remove(m.news.name());
            }
        }
    }
}
