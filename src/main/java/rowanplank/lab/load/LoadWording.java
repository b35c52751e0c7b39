package rowanplank.lab.load;

import java.util.List;
import rowanplank.lab.client.Wording;
import rowanplank.lab.load.LoadPlan.LoadClass;

/** Requests as the plan has them. Ids begin with the run's own, so that two runs against one node never share any. */
final class LoadWording implements Wording {
    private static final String PLACE = "{n}";

    private record Form(String method, String path, String body) { }

    private final List<Form> forms;
    private final String run;

    LoadWording(List<LoadClass> classes, String run) {
        forms = classes.stream().map(c -> new Form(c.method(), c.path(), c.body())).toList();
        this.run = run;
    }

    @Override
    public void enter(int requestClass, long number, long work) { }

    @Override
    public String message(int requestClass, long number, String fields) {
        Form form = forms.get(requestClass);
        String own = Long.toHexString(number);
        String body = form.body.replace(PLACE, own);
        return form.method + ' ' + form.path.replace(PLACE, own) + " HTTP/1.1\r\nHost: pages.lab\r\nX-Request-ID: "
                + run + '-' + own + "\r\n" + fields
                + (form.method.equals("GET") ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n"
                + (form.method.equals("GET") ? "" : body);
    }
}
