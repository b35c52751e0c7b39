package routerfleet.wire;

import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.util.List;
import routerfleet.config.EvacuationOrder;
import routerfleet.config.Evacuations;

/** Evacuations and orders about them as bytes and back. */
final class EvacuationForm {
    private EvacuationForm() { }

    static void write(Output out, Evacuations evacuations) {
        out.writeVarLong(evacuations.revision(), true);
        Fields.writeStrings(out, evacuations.zones());
    }

    static Evacuations readEvacuations(Input in) {
        long revision = in.readVarLong(true);
        List<String> zones = Fields.readStrings(in);
        if (zones == null) {
            throw new KryoException("evacuations without a list of zones");
        }
        return new Evacuations(revision, zones);
    }

    static void write(Output out, EvacuationOrder order) {
        out.writeVarLong(order.baseRevision(), true);
        out.writeString(order.zone());
        out.writeBoolean(order.start());
    }

    static EvacuationOrder readOrder(Input in) {
        return new EvacuationOrder(in.readVarLong(true), in.readString(), in.readBoolean());
    }
}
