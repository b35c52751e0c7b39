package routerfleet.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import routerfleet.journal.JournalVector;
import routerfleet.journal.Origin;

/** Records whose equality is written out have to consider every component, also those that are added later. */
class RecordEqualityTest {
    private static final Map<Class<?>, List<Object>> SAMPLES = Map.of(String.class, List.of("a", "b"), int.class,
            List.of(1, 2), long.class, List.of(1L, 2L), double.class, List.of(1.0, 2.0), boolean.class,
            List.of(true, false), List.class, List.of(List.of("a"), List.of("b")), SortedMap.class,
            List.of(new TreeMap<>(Map.of(new Origin("a", 1), 1L)), new TreeMap<>(Map.of(new Origin("a", 1), 2L))),
            BackendConfig.Engine.class, List.of(new BackendConfig.Engine(1, 1, 1), new BackendConfig.Engine(2, 1, 1)));

    private static Object record(Class<?> type, int changed) throws ReflectiveOperationException {
        RecordComponent[] components = type.getRecordComponents();
        Class<?>[] types = Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
        Object[] values = new Object[components.length];
        for (int i = 0; i < values.length; i++) {
            values[i] = SAMPLES.get(types[i]).get(i == changed ? 1 : 0);
        }
        return type.getDeclaredConstructor(types).newInstance(values);
    }

    @ParameterizedTest
    @ValueSource(classes = {RouteConfig.class, RouteConfig.WeightedBackend.class, BackendConfig.class,
        BackendConfig.Engine.class, TenantConfig.class, ClientLimits.class, Origin.class, JournalVector.class})
    void eachComponentCounts(Class<?> type) throws ReflectiveOperationException {
        Object one = record(type, -1);
        assertThat(one, is(record(type, -1)));
        assertThat(one.hashCode(), is(record(type, -1).hashCode()));
        for (int i = 0; i < type.getRecordComponents().length; i++) {
            assertThat(type.getRecordComponents()[i].getName(), one, is(not(record(type, i))));
        }
    }
}
