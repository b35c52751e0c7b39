package rowanplank.lab.client;

import java.util.List;
import rowanplank.lab.day.Day.RequestClass;
import rowanplank.lab.site.Works;

/** Requests of a day's classes, for page servers that know each of them. */
record PageWording(List<RequestClass> classes, Works works) implements Wording {
    PageWording {
        classes = List.copyOf(classes);
    }

    @Override
    public void enter(int requestClass, long number, long work) {
        PageRequest.of(classes.get(requestClass), number).enter(works, work);
    }

    @Override
    public String message(int requestClass, long number, String fields) {
        return PageRequest.of(classes.get(requestClass), number).text(fields);
    }
}
