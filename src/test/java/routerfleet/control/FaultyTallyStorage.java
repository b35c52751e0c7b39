package routerfleet.control;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import routerfleet.journal.JournalEntry;
import routerfleet.wire.JournalForm;
import routerfleet.wire.PeerCodec;

/** A tally storage with an injected fault. */
final class FaultyTallyStorage extends TallyStorage {
    private final InjectedFault fault;
    private final Executor loop;

    FaultyTallyStorage(InjectedFault fault, Disk disk, DiskWriter writer, Executor loop) {
        super(disk, writer, loop);
        this.fault = fault;
        this.loop = loop;
    }

    @Override
    Opened open() throws IOException {
        Opened opened = super.open();
        if (opened == null || opened.records().isEmpty()) {
            return opened;
        }
        List<byte[]> records = opened.records();
        return switch (fault) {
            case TALLY_LAST_RECORD_FORGOTTEN -> new Opened(opened.snapshot(), records.subList(0, records.size() - 1));
            case TALLY_UIDS_FORGOTTEN -> new Opened(opened.snapshot(), records.stream().map(this::withoutUids).toList());
            default -> opened;
        };
    }

    private byte[] withoutUids(byte[] record) {
        try {
            return JournalForm.storedEntries(JournalForm.readStoredEntries(record).stream()
                    .map(e -> new JournalEntry(e.origin(), e.number(), e.tally(), "forgotten " + e.number(), e.amount()))
                    .toList());
        } catch (PeerCodec.MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    void append(byte[] record, Consumer<Boolean> ended) {
        if (fault == InjectedFault.TALLY_TOLD_BEFORE_SYNCED) {
            super.append(record, stored -> { });
            loop.execute(() -> ended.accept(true));
        } else {
            super.append(record, ended);
        }
    }
}
