package rowanplank.soak;

import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** How much each map, queue, list and array of the project's objects holds, by the field that it stands in. */
final class Sizes {
    private final Map<String, Integer> sizes = new TreeMap<>();
    private final Set<Object> seen = Collections.newSetFromMap(new IdentityHashMap<>());
    private final Deque<Object> left = new ArrayDeque<>();

    private Sizes() { }

    /** Of all that can be reached from here through the project's own objects, but for the laboratory's. */
    static Map<String, Integer> of(Object root) {
        Sizes s = new Sizes();
        s.visit("", root);
        for (Object o; (o = s.left.poll()) != null;) {
            s.fields(o);
        }
        return s.sizes;
    }

    private void fields(Object o) {
        for (Class<?> c = o.getClass(); c.getName().startsWith("rowanplank."); c = c.getSuperclass()) {
            for (Field f : c.getDeclaredFields()) {
                if (!Modifier.isStatic(f.getModifiers()) && !f.getType().isPrimitive()) {
                    f.setAccessible(true);
                    try {
                        visit(c.getSimpleName() + "." + f.getName(), f.get(o));
                    } catch (IllegalAccessException e) {
                        throw new IllegalStateException(e);
                    }
                }
            }
        }
    }

    private void visit(String at, Object value) {
        if (value == null || !seen.add(value)) {
            return;
        }
        if (value instanceof Collection<?> all) {
            sizes.merge(at, all.size(), Integer::sum);
            all.forEach(v -> visit(at, v));
        } else if (value instanceof Map<?, ?> map) {
            sizes.merge(at, map.size(), Integer::sum);
            map.forEach((k, v) -> {
                visit(at, k);
                visit(at, v);
            });
        } else if (value instanceof Object[] array) {
            sizes.merge(at, array.length, Integer::sum);
            for (Object v : array) {
                visit(at, v);
            }
        } else if (value.getClass().isArray()) {
            sizes.merge(at, Array.getLength(value), Integer::sum);
        } else if (isOurs(value.getClass())) {
            left.add(value);
        }
    }

    private static boolean isOurs(Class<?> type) {
        return type.getName().startsWith("rowanplank.") && !type.getName().startsWith("rowanplank.lab.")
                && !type.isEnum() && !type.isHidden();
    }
}
