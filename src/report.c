#include "report.h"

enum { PATH_SIZE = 512 };

static const double loads[] = {0.1, 0.2, 0.3, 0.4, 0.5,
                               0.6, 0.7, 0.8, 0.9, 0.95};

enum { LOADS = sizeof(loads) / sizeof(loads[0]) };

/* struct plot - one picture: which figure, of what */
struct plot {
    const char *name;
    const char *title;
    double (*value)(const struct figures *f);
};

static double
mean_of(const struct figures *f)
{
    return f->ratio_mean;
}

static double
p99_of(const struct figures *f)
{
    return f->ratio_p99;
}

static double
wasted_of(const struct figures *f)
{
    return f->wasted;
}

static double
incomplete_of(const struct figures *f)
{
    return (double)(f->jobs - f->complete) / (double)f->jobs;
}

static const struct plot plots[] = {
    {"response-mean", "response over the ideal, mean", mean_of},
    {"response-p99", "response over the ideal, 99th percentile", p99_of},
    {"wasted", "messages beyond the fewest needed, a task", wasted_of},
    {"incomplete", "share of jobs not complete", incomplete_of},
};

static FILE *
open_in(const char *dir, const char *name, const char *suffix)
{
    char path[PATH_SIZE];
    FILE *out;

    (void)snprintf(path, sizeof(path), "%s/%s.%s", dir, name, suffix);
    out = fopen(path, "w");
    if (out == NULL) {
        perror(path);
    }
    return out;
}

static bool
write_data(const struct plot *p, const char *dir,
           struct figures f[LOADS][POLICIES])
{
    FILE *out = open_in(dir, p->name, "dat");

    if (out == NULL) {
        return false;
    }
    (void)fprintf(out, "load");
    for (int i = 0; i < POLICIES; i++) {
        (void)fprintf(out, " %s", policy_name((enum policy)i));
    }
    for (int l = 0; l < LOADS; l++) {
        (void)fprintf(out, "\n%.2f", loads[l]);
        for (int i = 0; i < POLICIES; i++) {
            (void)fprintf(out, " %.4f", p->value(&f[l][i]));
        }
    }
    (void)fprintf(out, "\n");
    return fclose(out) == 0;
}

static bool
write_script(const struct plot *p, const char *dir)
{
    FILE *out = open_in(dir, p->name, "gp");

    if (out == NULL) {
        return false;
    }
    (void)fprintf(out,
                  "set terminal pngcairo size 800,500\n"
                  "set output '%s.png'\nset title '%s'\n"
                  "set xlabel 'load of capacity'\nset key top left\n"
                  "set grid\nplot for [i=2:%d] '%s.dat' using 1:i "
                  "with linespoints title columnheader(i)\n",
                  p->name, p->title, POLICIES + 1, p->name);
    return fclose(out) == 0;
}

bool
report_write(const struct workload *w, const char *dir)
{
    static struct figures f[LOADS][POLICIES];
    bool ok = true;

    for (int l = 0; l < LOADS; l++) {
        struct workload at = *w;

        at.load = loads[l];
        for (int i = 0; i < POLICIES; i++) {
            f[l][i] = figures_of(&at, (enum policy)i);
        }
    }
    for (size_t i = 0; i < sizeof(plots) / sizeof(plots[0]); i++) {
        ok = ok && write_data(&plots[i], dir, f) &&
             write_script(&plots[i], dir);
    }
    return ok;
}
