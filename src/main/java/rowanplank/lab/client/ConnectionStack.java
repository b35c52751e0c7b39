package rowanplank.lab.client;

/** Connections of one node, the newest on top; a link in each makes all steps O(1). */
final class ConnectionStack {
    private FrontConnection top;
    private FrontConnection bottom;

    boolean isEmpty() {
        return top == null;
    }

    void push(FrontConnection connection) {
        connection.stack = this;
        connection.newer = null;
        connection.older = top;
        if (top == null) {
            bottom = connection;
        } else {
            top.newer = connection;
        }
        top = connection;
    }

    FrontConnection pop() {
        return take(top);
    }

    /** The one that is there for longest. */
    FrontConnection popOldest() {
        return take(bottom);
    }

    private FrontConnection take(FrontConnection connection) {
        remove(connection);
        return connection;
    }

    void remove(FrontConnection connection) {
        if (connection.newer == null) {
            top = connection.older;
        } else {
            connection.newer.older = connection.older;
        }
        if (connection.older == null) {
            bottom = connection.newer;
        } else {
            connection.older.newer = connection.newer;
        }
        connection.stack = null;
        connection.newer = null;
        connection.older = null;
    }

    void closeAll() {
        while (top != null) {
            top.close();
        }
    }
}
