package rowanplank.lab.trial;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import rowanplank.fleet.wire.BinaryReader.MalformedException;
import rowanplank.fleet.wire.Envelope;
import rowanplank.fleet.wire.EnvelopeCodec;
import rowanplank.fleet.wire.LedgerCodec;
import rowanplank.lab.trial.judge.Event.Kind;
import rowanplank.ledger.Ask;
import rowanplank.ledger.Result;

/**
 * A client of the voters that is no node: it asks for a lease of its own, reads it back, gives it back, reads again, and so
 * on. It sends each request until it is answered, to one voter after the other, and sends earlier ones again as a network
 * may. The lease outlasts what is judged of it, and nobody else asks for it: so each read has one right answer.
 */
final class LedgerClient {
    static final Duration RETRY = Duration.ofMillis(120);
    private static final String NAME = "client";
    private static final Duration LENGTH = Duration.ofMinutes(1);
    /** Its numbers are no node's: reads of both stand in one history. */
    private static final long FIRST_NUMBER = 1L << 41;
    /** One answer of so many is lost on its way. */
    private static final int LOST = 8;
    private static final int MOST_EARLIER = 8;

    /** In this order, over and over from the second on. */
    private enum Step { OPEN, ACQUIRE, READ_HELD, RELEASE, READ_FREE }

    /** How a datagram gets to a voter. */
    interface Out {
        void send(int voter, ByteBuffer datagram);
    }

    private final EnvelopeCodec form;
    private final List<String> voters;
    private final UniformRandomProvider chance;
    private final Subject.Notes notes;
    private final Out out;
    private final List<ByteBuffer> earlier = new ArrayList<>();
    private Step step = Step.OPEN;
    private long session;
    private long number = FIRST_NUMBER;
    /** What is under way; null where the step is not begun. */
    private ByteBuffer asked;
    private int target;

    LedgerClient(String fleet, List<String> voters, UniformRandomProvider chance, Subject.Notes notes, Out out) {
        form = new EnvelopeCodec(fleet);
        this.voters = List.copyOf(voters);
        this.chance = chance;
        this.notes = notes;
        this.out = out;
    }

    /** To be called every {@link #RETRY}. */
    void onTime() {
        if (asked == null) {
            begin();
        }
        send(target++ % voters.size(), asked);
        if (!earlier.isEmpty() && chance.nextInt(3) == 0) {
            send(chance.nextInt(voters.size()), earlier.get(chance.nextInt(earlier.size())));
        }
    }

    private void send(int voter, ByteBuffer datagram) {
        out.send(voter, datagram.duplicate());
    }

    private void begin() {
        number++;
        asked = form.write(Envelope.of(NAME, FIRST_NUMBER, LedgerCodec.FIRST_VERSION,
                new Ask(NAME, FIRST_NUMBER, session, number, number, what())));
        switch (step) {
            case OPEN -> { }
            case ACQUIRE, RELEASE -> notes.tell(Kind.SENT, NAME, NAME, 0, number, step.name());
            default -> notes.tell(Kind.ASKED, NAME, NAME, 0, number, "");
        }
    }

    private Ask.What what() {
        return switch (step) {
            case OPEN -> new Ask.Open();
            case ACQUIRE -> new Ask.Acquire(NAME, LENGTH);
            case RELEASE -> new Ask.Release(NAME, 0);
            default -> new Ask.Read(NAME);
        };
    }

    void received(ByteBuffer datagram) {
        if (chance.nextInt(LOST) == 0) {
            return;
        }
        try {
            Ask.Answer answer = form.read(datagram).answer();
            if (answer != null && answer.incarnation() == FIRST_NUMBER) {
                answered(answer.number(), answer.result());
            }
        } catch (MalformedException e) {
            throw new IllegalStateException("a voter answered what can't be read", e);
        }
    }

    private void answered(long of, Result r) {
        if (r.kind() == Result.Kind.GRANTED || r.kind() == Result.Kind.RELEASED) {
            notes.tell(Kind.TOLD, NAME, NAME, r.value(), of, r.kind().name()); // also of a copy of an earlier one
        }
        if (of != number || asked == null) {
            return;
        }
        switch (r.kind()) {
            case NOT_LEADER -> target = Math.max(0, voters.indexOf(r.node()));
            case PARKED -> { }
            case NO_SESSION -> next(Step.OPEN);
            case OPENED -> {
                session = r.value();
                next(Step.ACQUIRE);
            }
            case GRANTED -> next(Step.READ_HELD);
            case RELEASED -> next(Step.READ_FREE);
            default -> {
                boolean read = step == Step.READ_HELD || step == Step.READ_FREE;
                if (read) {
                    notes.tell(Kind.READ, NAME, NAME, r.value(), of, r.kind() == Result.Kind.HELD ? "held" : "free");
                }
                next(step == Step.READ_HELD ? Step.RELEASE : Step.ACQUIRE);
            }
        }
    }

    private void next(Step to) {
        if (step == Step.ACQUIRE || step == Step.RELEASE) {
            earlier.add(asked);
            if (earlier.size() > MOST_EARLIER) {
                earlier.remove(0);
            }
        }
        step = to;
        asked = null;
    }
}
