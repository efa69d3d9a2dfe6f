import java.util.Map;

/** An array whose tasks failed on a machine while that machine was faulty, and which is never placed on it again. */
final class Trial4 {
    private static final double WAIT_S = 90;

    private Trial4() {}

    public static void main(String[] args) {
        Platform.Site site = new Platform.Site();
        Jobs jobs = new Jobs(site.cancelS);
        jobs.cpusMax.put("folha-ops", 400.0);
        Platform platform = new Platform(site, jobs);
        Trial.run(args, jobs, () -> play(platform, jobs));
    }

    private static boolean play(Platform platform, Jobs jobs) {
        // Four machines of 16 CPUs, and then a fifth, which is all that the cloud has.
        if (!Trial.startAll(platform, 4)) return false;
        Http.sleep(1_000);
        User user = new User(platform, "user");
        if (!Trial.fill(platform, jobs, user, 16)) return false;
        Worker free = platform.addMachine("desk-node", platform.site.zones.get(0), false);
        Http.sleep(2_500);

        // Disruption: the machine that is left fails every task that it starts, for 6 s.
        if (Trial.TROUBLE) {
            free.sick = true;
            Record.say(free.id + " fails every task that it starts");
        }
        Jobs.Job array = jobs.add(Jobs.sweep("wk-000100", "folha-ops", "payslip-calc", 4, 5), 5);
        Http.Answer accepted = user.submitUntilAnswered("plot-1", array);
        if (accepted == null || accepted.status() != 201) return false;
        if (Trial.TROUBLE) {
            Http.sleep(6_000);
            free.sick = false;
            Record.say(free.id + " is sound again");
        }
        double from = Record.seconds();
        Jobs.Job other = null;
        while (Record.seconds() < from + WAIT_S && jobs.running(array.id) == 0 && array.done.isEmpty()) {
            Http.sleep(500);
            if (other == null && Record.seconds() > from + 60) {
                // Another job of the same kind shows that the machine has room and takes work.
                other = jobs.add(Jobs.sweep("wk-000101", "folha-ops", "payslip-calc", 4, 2), 2);
                user.submitUntilAnswered("plot-1", other);
            }
        }
        Record.say("after " + String.format("%.1f", Record.seconds() - from) + " s: " + jobs.running(array.id) + " tasks run, " + array.done.size() + " are done");
        if (other != null) Record.say("of the same job, submitted 60 s later, " + other.done.size() + " of 4 tasks are done on " + free.id);
        Record.say("poll: " + user.poll("plot-1", array.id));
        if (jobs.running(array.id) == 0 && array.done.isEmpty())
            jobs.breakRule("waits", array.id + " has waited " + WAIT_S + " s since the trouble was over, while " + free.id + " is sound and has " + (16 - jobs.cpusOn(free)) + " of 16 CPUs free");
        return true;
    }
}
